package sharedrows

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"peardrift/internal/port/porttest"
)

// setRate changes the rate, in operations per second, and the additional latency.
func (l *rateLimiter) setRate(rate int, pause time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rate, l.pause = rate, pause
}

// sendForOneSecond sends calls evenly over one second, and returns the number of
// completed calls, which still grows, and the number of writes in that second.
func (f *fleet) sendForOneSecond(calls int) (done *atomic.Int32, puts int) {
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

// Guards against a retry storm that never ends: after one second in which the
// platform is slow, loses answers or is down, failed ops are retried by more nodes
// and with more operations than the platform can serve, so that all of them time
// out. The load is 3,100 calls per second; the platform serves 250 writes, twice
// the need, and 1,000 reads per second.
func TestRecoversWithinPlatformCapacity(t *testing.T) {
	const calls = 3100
	for name, fault := range map[string]func(*fleet){
		"slow": func(f *fleet) {
			f.puts.setRate(250, 300*time.Millisecond)
			f.gets.setRate(1000, 300*time.Millisecond)
		},
		"answers lost": func(f *fleet) {
			f.table.SetScript(func(porttest.Op, string) porttest.Fault { return porttest.LostResponse })
		},
		"down": func(f *fleet) {
			f.table.SetScript(func(porttest.Op, string) porttest.Fault { return porttest.Unavailable })
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 20, DefaultConfig())
				restore := func() {
					f.puts.setRate(250, 0)
					f.gets.setRate(1000, 0)
					f.table.SetScript(nil)
				}
				restore()
				f.sendForOneSecond(calls)
				fault(f)
				f.sendForOneSecond(calls)
				restore()
				for range 4 {
					f.sendForOneSecond(calls)
				}
				done, puts := f.sendForOneSecond(calls)
				time.Sleep(time.Second)
				if done.Load() != calls || puts > 200 {
					t.Errorf("%d of %d calls completed with %d writes in the fifth second after", done.Load(), calls, puts)
				}
			})
		})
	}
}
