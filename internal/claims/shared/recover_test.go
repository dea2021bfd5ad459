package shared

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"peardrift/internal/port/porttest"
)

// set lets a line serve so many operations a second, each pause later.
func (l *line) set(rate int, pause time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rate, l.pause = rate, pause
}

// second sends a second's calls, and returns how many completed and what they
// wrote.
func (f *fleet) second(calls int) (done *atomic.Int32, puts int) {
	before := f.table.Count(porttest.OpPut)
	done = &atomic.Int32{}
	for i := range calls {
		go func() {
			if f.nodes[i%len(f.nodes)].Do(f.t.Context(), payout(), (&target{}).pay).Err == nil {
				done.Add(1)
			}
		}()
		time.Sleep(time.Second / time.Duration(calls))
	}
	return done, f.table.Count(porttest.OpPut) - before
}

// Symptom: after a second in which the platform was slow, lost its answers or
// was down, hardly any call completes for good.
// Events: 3,100 calls a second; the platform can do 250 writes and 1,000 reads a
// second, twice the writes that they need.
// Cause: what failed is tried again by more nodes and with more operations than
// the platform can do, so that they all come too late.
func TestRecoversWithinItsPlatformsMeans(t *testing.T) {
	const calls = 3100
	for name, fault := range map[string]func(*fleet){
		"slow": func(f *fleet) {
			f.puts.set(250, 300*time.Millisecond)
			f.gets.set(1000, 300*time.Millisecond)
		},
		"answers lost": func(f *fleet) {
			f.table.SetScript(func(porttest.Op, string) porttest.Fault { return porttest.LostAnswer })
		},
		"down": func(f *fleet) {
			f.table.SetScript(func(porttest.Op, string) porttest.Fault { return porttest.Unavailable })
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 20, DefaultConfig())
				mend := func() {
					f.puts.set(250, 0)
					f.gets.set(1000, 0)
					f.table.SetScript(nil)
				}
				mend()
				f.second(calls)
				fault(f)
				f.second(calls)
				mend()
				for range 4 {
					f.second(calls)
				}
				done, puts := f.second(calls)
				time.Sleep(time.Second)
				if done.Load() != calls || puts > 200 {
					t.Errorf("%d of %d calls completed with %d writes in the fifth second after", done.Load(), calls, puts)
				}
			})
		})
	}
}
