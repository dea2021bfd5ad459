package pace

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"peardrift/internal/core/earlyrefusal"
	"peardrift/internal/core/request"
)

const ms = time.Millisecond

var key = earlyrefusal.Key{Service: "archive.khaosan", Class: "read"}

// fixed is an admitted fraction that the test sets.
type fixed float64

func (f *fixed) Fraction(time.Duration, earlyrefusal.Key, request.Importance) float64 {
	return float64(*f)
}

// offer sends requests at a regular rate, of which up to 20 wait, and returns how many of
// them started.
func offer(t *Table, from, to time.Duration, perSecond int) (started int) {
	waiting := 0
	arrival := from
	for now := from; now < to; {
		if now == arrival {
			t.Arrived(now, key, 50)
			waiting = min(waiting+1, 20)
			arrival += time.Second / time.Duration(perSecond)
		}
		for waiting > 0 && t.Start(now, key, 50) {
			waiting, started = waiting-1, started+1
		}
		if waiting == 0 {
			now = arrival
		} else {
			now = min(arrival, t.Next(now, key, 50))
		}
	}
	return started
}

// Guards against an entry that starts another part of its demand than the level admits.
func TestAdmittedFractionOfDemandStarts(t *testing.T) {
	for _, perSecond := range []int{2, 5, 10, 100} {
		for _, f := range []fixed{1, 0.95, 0.75, 0.5, 0.1} {
			is := is.New(t)
			tab := New(DefaultConfig(), &f)
			offer(tab, 0, 5*time.Second, perSecond)
			started := offer(tab, 5*time.Second, 15*time.Second, perSecond)
			want := float64(10*perSecond) * float64(f)
			is.True(float64(started) >= 0.9*want-2)
			is.True(float64(started) <= 1.03*want+2)
		}
	}
}

// Guards against waiting requests that are checked again too late or in a busy loop while
// everything is admitted and no request arrives.
func TestNextIsWhenATokenIsThere(t *testing.T) {
	is := is.New(t)
	f := fixed(1)
	tab := New(DefaultConfig(), &f)
	offer(tab, 0, 5*time.Second, 100)
	now := 5 * time.Second
	for tab.Start(now, key, 50) {
	}
	next := tab.Next(now, key, 50)
	is.True(next > now && next <= now+50*ms)
	is.True(!tab.Start(next-ms, key, 50))
	is.True(tab.Start(next, key, 50))
}

// Guards against waiting requests that start although no part of their importance is
// admitted, or that are not checked again once it is.
func TestNothingStartsWhileNothingIsAdmitted(t *testing.T) {
	is := is.New(t)
	f := fixed(0)
	tab := New(DefaultConfig(), &f)
	started := offer(tab, 0, 10*time.Second, 100)
	is.True(started <= 1000*2/100) // probes
	is.True(tab.Next(10*time.Second, key, 50) <= 10*time.Second+50*ms)
}

// Guards against starting all waiting requests at once when the level falls: the calls of
// those that start reach the gates until they end.
func TestBacklogStartsGradually(t *testing.T) {
	is := is.New(t)
	f := fixed(0)
	tab := New(DefaultConfig(), &f)
	offer(tab, 0, 5*time.Second, 100)
	f = 1
	is.True(offer(tab, 5*time.Second, 5250*ms, 100) <= 15) // of 25 arrivals and 20 that wait
	is.True(offer(tab, 7*time.Second, 8*time.Second, 100) >= 100)
}
