package limit

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// shedWindow is a window of a target that sheds part of what it gets, whatever it
// holds.
func shedWindow(limit int, part float64) Window {
	const n = 100
	return Window{
		Length: 50 * time.Millisecond, Saturated: 50 * time.Millisecond,
		Completed: int(n * (1 - part)), Overloaded: int(n * part),
		Busy: time.Duration(limit) * 25 * time.Millisecond,
	}
}

// Symptom: a target turns half of its requests away for eight seconds, and its
// node refuses nearly all for ten seconds more. Events: each window with sheds
// cuts the limit, down to 1, from where it is doubled slowly. Cause: sheds that
// don't come of load are taken for a target that is full.
func TestSheddingWhateverItHoldsKeepsTheLimit(t *testing.T) {
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
	is.True(low < windows/3) // it looks again now and then, and less and less
	for range 40 {           // well again for 2 s
		p.Observe(Window{Length: 50 * time.Millisecond, Completed: 100, Busy: time.Duration(p.Limit()) * 25 * time.Millisecond})
	}
	is.True(p.Limit() > 90)
}

// A target that holds a tenth of what it says sheds less with each cut: its
// limit must go down all the same.
func TestSheddingForLoadStillCuts(t *testing.T) {
	is := is.New(t)
	cfg := DefaultConfig()
	cfg.InitialFraction = 1
	p := NewProbe(cfg, 100)
	const real = 10
	for range 100 {
		held := p.Limit()
		part := max(0, 1-float64(real)/float64(held))
		p.Observe(shedWindow(min(held, real), part))
	}
	is.True(p.Limit() <= 2*real)
}

// Symptom: the deepest service takes a third longer for each request, just when
// it is short. Cause: all of its slots are used, and it slows down when nearly all
// are.
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

// Symptom: after a start nearly all is refused for ten seconds. Events: the first
// limit was set before the target said how many slots it has. Cause: a limit that
// grows from there by doubling, though nothing was measured that speaks for less.
func TestSlotsAnnouncedLateCountAtOnce(t *testing.T) {
	is := is.New(t)
	cfg := DefaultConfig()
	cfg.InitialFraction = 1
	p := NewProbe(cfg, 1)
	p.SetMax(200)
	is.Equal(p.Limit(), 200)
}
