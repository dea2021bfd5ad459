package limit

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// shedWindow returns a window of a target that sheds a fraction of its requests at
// any concurrency.
func shedWindow(limit int, fraction float64) Window {
	const n = 100
	return Window{
		Length: 50 * time.Millisecond, Saturated: 50 * time.Millisecond,
		Completed: int(n * (1 - fraction)), Overloaded: int(n * fraction),
		Busy: time.Duration(limit) * 25 * time.Millisecond,
	}
}

// Guards against a node refusing nearly everything for ten seconds after its target
// has rejected half of its requests for eight seconds. Each window with sheds cuts
// the limit, down to 1, from where it doubles slowly, though shedding is independent
// of load.
func TestLoadIndependentSheddingKeepsTheLimit(t *testing.T) {
	is := is.New(t)
	cfg := DefaultConfig()
	cfg.InitialFraction = 1
	p := NewProbe(cfg, 100)
	low := 0
	windows := int(8 * time.Second / (50 * time.Millisecond))
	for range windows {
		p.Observe(shedWindow(p.Limit(), 0.5))
		if p.Limit() < 50 {
			low++
		}
	}
	is.True(low < windows/3) // cuts are retried at growing intervals
	for range 40 {           // recovered for 2 s
		p.Observe(Window{Length: 50 * time.Millisecond, Completed: 100, Busy: time.Duration(p.Limit()) * 25 * time.Millisecond})
	}
	is.True(p.Limit() > 90)
}

// A target with a tenth of its declared slots sheds less with each cut: its limit
// must still go down.
func TestLoadDependentSheddingCutsTheLimit(t *testing.T) {
	is := is.New(t)
	cfg := DefaultConfig()
	cfg.InitialFraction = 1
	p := NewProbe(cfg, 100)
	const real = 10
	for range 100 {
		running := p.Limit()
		fraction := max(0, 1-float64(real)/float64(running))
		p.Observe(shedWindow(min(running, real), fraction))
	}
	is.True(p.Limit() <= 2*real)
}

// Guards against using all slots of a target that takes a third longer per request
// when nearly all of them are in use, just when capacity is short.
func TestHeadroomIsNeverUsed(t *testing.T) {
	is := is.New(t)
	cfg := DefaultConfig()
	cfg.InitialFraction, cfg.Headroom = 1, 0.06
	p := NewProbe(cfg, 75)
	is.Equal(p.Limit(), 70)
	p.SetMax(30)
	is.Equal(p.Limit(), 28)
	p.SetMax(1)
	is.Equal(p.Limit(), 1)
}

// Guards against refusing nearly everything for ten seconds after a start: the first
// limit is set before the target declares its slots, and must not be doubled slowly
// from there when no measurement calls for less.
func TestSlotsDeclaredLateAreUsedAtOnce(t *testing.T) {
	is := is.New(t)
	cfg := DefaultConfig()
	cfg.InitialFraction = 1
	p := NewProbe(cfg, 1)
	p.SetMax(200)
	is.Equal(p.Limit(), 200)
}

// Guards against a limit that stays cut for up to 30 s after its target has stopped shedding:
// each window with sheds doubled the pause before a higher limit is tried.
func TestLimitReturnsAfterSheddingEndsDuringACut(t *testing.T) {
	const window = 50 * time.Millisecond
	for shedFor := window; shedFor <= 8*time.Second; shedFor += window {
		cfg := DefaultConfig()
		cfg.InitialFraction = 1
		p := NewProbe(cfg, 100)
		for at := time.Duration(0); at < shedFor; at += window {
			p.Observe(shedWindow(p.Limit(), 0.5))
		}
		cut := p.Limit()
		for range 4 * time.Second / window {
			n := p.Limit() // each takes a window
			p.Observe(Window{Length: window, Saturated: window, Completed: n, Busy: time.Duration(n) * window})
		}
		if p.Limit() < 90 {
			t.Errorf("4 s after %v of sheds: limit %d, cut to %d", shedFor, p.Limit(), cut)
		}
	}
}
