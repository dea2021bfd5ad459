package limit

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Two kinds of request, with the times that they take in a healthy target.
var usualTimes = []time.Duration{20 * time.Millisecond, 200 * time.Millisecond}

// notice feeds completions, half of each kind: a time drawn with a coefficient of
// variation of one half, stretched, and a wait on top. It returns what the last
// window needed.
func notice(d *Delay, rng *rand.Rand, n int, stretch float64, wait func(i int) time.Duration) time.Duration {
	for i := range n {
		own := time.Duration(0)
		for range 4 {
			own += time.Duration(rng.ExpFloat64() * stretch * float64(usualTimes[i%2]) / 4)
		}
		own += wait(i)
		d.Done(i % 2)
		d.Note(i%2, own+time.Second, own) // each waits a second for calls below
	}
	return d.Roll()
}

func none(int) time.Duration { return 0 }

func TestDelay(t *testing.T) {
	const n = 2000
	queue := func(i int) time.Duration { return min(time.Second, time.Duration(i)*time.Millisecond) }
	tests := []struct {
		name    string
		stretch float64
		wait    func(i int) time.Duration
		queues  bool
	}{
		{"as ever", 1, none, false},
		{"four times slower", 4, none, false},
		{"ten times slower", 10, none, false},
		{"a queue that grows, then stands", 1, queue, true},
		{"a wait that is small beside the times", 1, func(int) time.Duration { return 20 * time.Millisecond }, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			for seed := range uint64(20) {
				d, rng := NewDelay(len(usualTimes)), rand.New(rand.NewPCG(seed, 4))
				is.Equal(notice(d, rng, n, 1, none), time.Duration(0))
				needed := notice(d, rng, n, tt.stretch, tt.wait)
				is.Equal(needed > 0, tt.queues)
				if tt.queues {
					each := needed.Seconds() / n // 0.11 s of work, 1 s below
					is.True(each > 0.9*1.11 && each < 1.1*1.11)
				}
			}
		})
	}
}

// Symptom: a service is cut to a sixth of its slots when one of its databases
// takes longer. Events: each request takes half a second more, whatever runs
// beside it. Cause: the same wait for each looks like a queue, and the limit that
// it led to was kept though requests took as long as before.
func TestWrongSignIsTakenBack(t *testing.T) {
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
	is.True(least < 130)     // it was heeded
	is.Equal(p.Limit(), 130) // taken back
	is.True(p.distrust > 0)  // and isn't heeded again soon
	is.True(!p.relieved)     // nor taken for a cut that helped
}

const window = 50 * time.Millisecond

// Symptom: a service that runs a sixth of its slots is cut to them, and stays
// there for half a minute after it has them all again. Events: each trial of a
// higher limit finds the queue, and doubles the pause before the next. Cause: the
// pause was that for targets whose queue only a trial shows.
func TestSlotsThatComeBackAreTakenSoon(t *testing.T) {
	is := is.New(t)
	p, rng := NewProbe(DefaultConfig(), 130), rand.New(rand.NewPCG(1, 5))
	runSigned(p, rng, 130, 5*time.Second)
	is.Equal(p.Limit(), 130)
	runSigned(p, rng, 20, time.Second)
	is.True(p.Limit() <= 26) // within a second
	runSigned(p, rng, 20, 30*time.Second)
	is.True(p.Limit() <= 44) // a trial may be under way
	runSigned(p, rng, 130, 5*time.Second)
	is.Equal(p.Limit(), 130)
}

// runSigned drives p against a target with real slots and a queue inside, and
// the sign that Delay would give.
func runSigned(p *Probe, rng *rand.Rand, real int, length time.Duration) {
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
