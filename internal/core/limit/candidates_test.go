package limit

import "math"

// fixedLimit always returns the declared slots.
type fixedLimit int

func (f fixedLimit) Limit() int     { return int(f) }
func (f fixedLimit) Observe(Window) {}
func (f fixedLimit) SetMax(int)     {}

// aimdLimit adds one slot per window and cuts by a tenth when the target sheds.
type aimdLimit struct {
	max   int
	limit float64
}

func (a *aimdLimit) Limit() int     { return int(a.limit) }
func (a *aimdLimit) SetMax(max int) { a.max = max }
func (a *aimdLimit) Observe(w Window) {
	if w.Overloaded > 0 {
		a.limit = max(1, 0.9*a.limit)
		return
	}
	a.limit = min(float64(a.max), a.limit+1)
}

// gradientLimit scales the limit by the ratio of the long-term mean time in the
// target to the current one, and allows the square root of the limit as a queue.
type gradientLimit struct {
	max         int
	limit, long float64
}

func (g *gradientLimit) Limit() int     { return int(g.limit) }
func (g *gradientLimit) SetMax(max int) { g.max = max }
func (g *gradientLimit) Observe(w Window) {
	const tolerance, weight, smooth = 1.5, 0.01, 0.2
	t := w.timeInTarget().Seconds()
	if t == 0 {
		return
	}
	if g.long == 0 {
		g.long = t
	}
	g.long += weight * (t - g.long)
	if g.long > 2*t {
		g.long *= 0.95
	}
	ratio := max(0.5, min(1, tolerance*g.long/t))
	next := g.limit*ratio + math.Sqrt(g.limit)
	g.limit = max(1, min(float64(g.max), g.limit+smooth*(next-g.limit)))
}
