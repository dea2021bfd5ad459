package resend

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"peardrift/internal/core/earlyrefusal"
)

var (
	longKey  = earlyrefusal.Key{Service: "front.t", Class: "long", Tenant: "t"}
	shortKey = earlyrefusal.Key{Service: "front.t", Class: "short", Tenant: "t"}
)

// offer lets n requests, one a millisecond, start and end, of which rejected in 10 are
// rejected below. It returns how many started.
func offer(s *Starts, now *time.Duration, k earlyrefusal.Key, n, rejected int) (started int) {
	for range n {
		*now += time.Millisecond
		if !s.Start(*now, k) {
			continue
		}
		s.Ended(*now, k, (started*3)%10 < rejected)
		started++
	}
	return started
}

// Guards against starting requests of a class that can't be finished, and against
// refusing classes that can.
func TestClassThatNeverCompletesIsRefused(t *testing.T) {
	is := is.New(t)
	s := NewStarts(DefaultConfig().Starts)
	var now time.Duration
	is.Equal(offer(s, &now, longKey, 20, 10), 20)
	got := offer(s, &now, longKey, 2000, 10)
	is.True(got >= 90 && got <= 110) // 5 in 100 as probes
	is.Equal(offer(s, &now, shortKey, 500, 8), 500)
}

// Guards against refusing a class for longer than its requests fail.
func TestClassIsStartedAgain(t *testing.T) {
	is := is.New(t)
	s := NewStarts(DefaultConfig().Starts)
	var now time.Duration
	offer(s, &now, longKey, 2000, 10)
	offer(s, &now, longKey, 1100, 0) // until the failures are older than the span
	is.Equal(offer(s, &now, longKey, 100, 0), 100)
}

// Guards against judging a class by few requests, or by those of minutes ago.
func TestFewOrOldFailuresRefuseNothing(t *testing.T) {
	is := is.New(t)
	s := NewStarts(DefaultConfig().Starts)
	var now time.Duration
	for range 100 {
		now += 100 * time.Millisecond
		is.True(s.Start(now, longKey))
		s.Ended(now, longKey, true)
	}
	offer(s, &now, shortKey, 100, 10)
	now += 2 * time.Second
	is.True(s.Start(now, shortKey))
}

func BenchmarkStarts(b *testing.B) {
	s := NewStarts(DefaultConfig().Starts)
	var now time.Duration
	offer(s, &now, longKey, 100, 10)
	b.ReportAllocs()
	for b.Loop() {
		now += 100 * time.Microsecond
		if s.Start(now, longKey) {
			s.Ended(now, longKey, true)
		}
	}
}
