package replay

import (
	"time"

	"peardrift/internal/core/request"
	"peardrift/internal/status"
)

func newGate(n *node) gate {
	switch n.w.pol.Gate {
	case GateStatic:
		return &limitGate{n: n, limit: float64(n.target.slots)}
	case GateAdaptive:
		return &limitGate{n: n, limit: float64(n.target.slots), adapt: true}
	case GateCore:
		return newCoreGate(n)
	default:
		return openGate{n: n}
	}
}

// openGate is the baseline without admission control.
type openGate struct{ n *node }

func (g openGate) arrive(a *attempt)          { g.n.begin(a) }
func (openGate) finish(*attempt, result)      {}
func (openGate) cancel(*attempt)              {}
func (openGate) answer(a *attempt) (x answer) { return x }

// The adaptive baseline follows the ratio of the least to the recent latency,
// as the usual gradient limiters do.
const (
	adaptiveSamples = 50
	adaptiveSlack   = 2
	adaptiveDrift   = 0.01 // of the least latency towards the recent, each time
	adaptiveSmooth  = 0.2
	adaptiveHeadway = 4
)

// limitGate is the baseline of a limit of calls in flight, fixed or adaptive.
// It refuses above the limit whatever the class.
type limitGate struct {
	n       *node
	limit   float64
	adapt   bool
	used    int
	samples int
	sum     time.Duration
	least   time.Duration
}

func (g *limitGate) arrive(a *attempt) {
	if float64(g.used) >= g.limit {
		g.n.refuse(a, result{code: status.CodeOverloaded})
		return
	}
	g.used++
	g.n.begin(a)
}

func (g *limitGate) finish(a *attempt, r result) {
	g.used--
	if !g.adapt || r.outcome != request.Completed {
		return
	}
	took := g.n.w.now - a.arrived
	g.samples++
	g.sum += took
	if g.samples < adaptiveSamples {
		return
	}
	mean := g.sum / time.Duration(g.samples)
	g.samples, g.sum = 0, 0
	if g.least == 0 || mean < g.least {
		g.least = mean
	}
	g.least += time.Duration(adaptiveDrift * float64(mean-g.least))
	gradient := min(1, max(0.5, adaptiveSlack*float64(g.least)/float64(mean)))
	next := g.limit*gradient + adaptiveHeadway
	if float64(g.used) < g.limit/2 {
		next = min(next, g.limit)
	}
	g.limit = min(float64(g.n.target.conns), g.limit*(1-adaptiveSmooth)+next*adaptiveSmooth)
}

func (*limitGate) cancel(*attempt)              {}
func (*limitGate) answer(a *attempt) (x answer) { return x }
