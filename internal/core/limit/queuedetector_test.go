package limit

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// baselineTimes are the times in a healthy target of two kinds of request.
var baselineTimes = []time.Duration{20 * time.Millisecond, 200 * time.Millisecond}

// feedDetector feeds completions, half of each kind: a time drawn with a coefficient of
// variation of one half, stretched, plus a wait. It returns the needed time of the
// last window.
func feedDetector(d *QueueDetector, rng *rand.Rand, n int, stretch float64, wait func(i int) time.Duration) time.Duration {
	for i := range n {
		own := time.Duration(0)
		for range 4 {
			own += time.Duration(rng.ExpFloat64() * stretch * float64(baselineTimes[i%2]) / 4)
		}
		own += wait(i)
		d.CountCompletion(i % 2)
		d.RecordTime(i%2, own+time.Second, own) // each waits a second for downstream calls
	}
	return d.EndWindow()
}

func noWait(int) time.Duration { return 0 }

func TestQueueDetector(t *testing.T) {
	const n = 2000
	queue := func(i int) time.Duration { return min(time.Second, time.Duration(i)*time.Millisecond) }
	tests := []struct {
		name    string
		stretch float64
		wait    func(i int) time.Duration
		queues  bool
	}{
		{"unchanged", 1, noWait, false},
		{"four times slower", 4, noWait, false},
		{"ten times slower", 10, noWait, false},
		{"queue that grows, then stays constant", 1, queue, true},
		{"wait that is small relative to the times", 1, func(int) time.Duration { return 20 * time.Millisecond }, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			for seed := range uint64(20) {
				d, rng := NewQueueDetector(len(baselineTimes)), rand.New(rand.NewPCG(seed, 4))
				is.Equal(feedDetector(d, rng, n, 1, noWait), time.Duration(0))
				needed := feedDetector(d, rng, n, tt.stretch, tt.wait)
				is.Equal(needed > 0, tt.queues)
				if tt.queues {
					each := needed.Seconds() / n // 0.11 s of work, 1 s downstream
					is.True(each > 0.9*1.11 && each < 1.1*1.11)
				}
			}
		})
	}
}

// Guards against a cut to a sixth of the slots when a database takes longer: each
// request takes half a second more, independent of concurrency. The equal wait looks
// like queueing, and the limit must be restored once the cut does not shorten the
// time in the target.
func TestWrongQueueingSignalIsReverted(t *testing.T) {
	is := is.New(t)
	p := NewProbe(DefaultConfig(), 130)
	const took = 520 * time.Millisecond
	least, begun := p.max, 0.0
	for now := time.Duration(0); now < 20*time.Second; now += window {
		n := p.Limit()
		begun += float64(n) * window.Seconds() / took.Seconds()
		done := int(begun)
		begun -= float64(done)
		w := Window{Length: window, Saturated: window, Busy: time.Duration(n) * window, Completed: done}
		if now > 10*time.Second {
			w.Needed = time.Duration(done) * 20 * time.Millisecond
			least = min(least, n)
		}
		p.Observe(w)
	}
	is.True(least < 130)             // the limit was cut
	is.Equal(p.Limit(), 130)         // the cut was reverted
	is.True(p.ignoreQueueingFor > 0) // the signal is ignored for a while
	is.True(!p.cutByQueueing)        // the cut does not count as successful
}

const window = 50 * time.Millisecond

// Guards against a service staying at a sixth of its slots for half a minute after
// it has recovered them all: each trial of a higher limit found the queue and
// doubled the pause before the next, though that backoff is for targets whose queue
// only a trial detects.
func TestRecoveredSlotsAreUsedSoon(t *testing.T) {
	is := is.New(t)
	p, rng := NewProbe(DefaultConfig(), 130), rand.New(rand.NewPCG(1, 5))
	runWithQueueingSignal(p, rng, 130, 5*time.Second)
	is.Equal(p.Limit(), 130)
	runWithQueueingSignal(p, rng, 20, time.Second)
	is.True(p.Limit() <= 26) // within a second
	runWithQueueingSignal(p, rng, 20, 30*time.Second)
	is.True(p.Limit() <= 44) // a trial may be in progress
	runWithQueueingSignal(p, rng, 130, 5*time.Second)
	is.Equal(p.Limit(), 130)
}

// runWithQueueingSignal drives p against a target with real slots that queues
// internally, and supplies the signal that QueueDetector would give.
func runWithQueueingSignal(p *Probe, rng *rand.Rand, real int, length time.Duration) {
	const service = 20 * time.Millisecond
	for now := time.Duration(0); now < length; now += window {
		n := p.Limit()
		done := poisson(rng, float64(min(n, real))*window.Seconds()/service.Seconds())
		w := Window{Length: window, Saturated: window, Busy: time.Duration(n) * window, Completed: done}
		if n > 2*real {
			w.Needed = time.Duration(done) * service
		}
		p.Observe(w)
	}
}
