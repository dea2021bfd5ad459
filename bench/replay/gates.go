package replay

import (
	"time"

	"peardrift/internal/core/request"
	"peardrift/internal/status"
)

func newGate(n *node) gate {
	switch n.sim.policy.Gate {
	case GateStatic:
		return &limitGate{node: n, limit: float64(n.target.slots)}
	case GateAdaptive:
		return &limitGate{node: n, limit: float64(n.target.slots), adaptive: true}
	case GateCore:
		return newCoreGate(n)
	default:
		return openGate{node: n}
	}
}

// openGate is the baseline without admission control.
type openGate struct{ node *node }

func (g openGate) arrive(a *attempt)                    { g.node.admit(a) }
func (openGate) finish(*attempt, result)                {}
func (openGate) cancel(*attempt)                        {}
func (openGate) feedback(a *attempt) (x calleeFeedback) { return x }

// Parameters of the adaptive baseline, a gradient limiter that adjusts its limit by the
// ratio of minimum to recent latency.
const (
	adaptiveSamples   = 50
	adaptiveTolerance = 2
	adaptiveMinDrift  = 0.01 // step of the minimum latency towards the recent mean, per update
	adaptiveSmoothing = 0.2
	adaptiveHeadroom  = 4
)

// limitGate is the baseline with a limit on calls in flight, fixed or adaptive.
// It refuses calls above the limit regardless of class.
type limitGate struct {
	node       *node
	limit      float64
	adaptive   bool
	inFlight   int
	samples    int
	latencySum time.Duration
	minLatency time.Duration
}

func (g *limitGate) arrive(a *attempt) {
	if float64(g.inFlight) >= g.limit {
		g.node.refuse(a, result{code: status.CodeOverloaded})
		return
	}
	g.inFlight++
	g.node.admit(a)
}

func (g *limitGate) finish(a *attempt, r result) {
	g.inFlight--
	if !g.adaptive || r.outcome != request.Completed {
		return
	}
	took := g.node.sim.now - a.arrivedAt
	g.samples++
	g.latencySum += took
	if g.samples < adaptiveSamples {
		return
	}
	mean := g.latencySum / time.Duration(g.samples)
	g.samples, g.latencySum = 0, 0
	if g.minLatency == 0 || mean < g.minLatency {
		g.minLatency = mean
	}
	g.minLatency += time.Duration(adaptiveMinDrift * float64(mean-g.minLatency))
	gradient := min(1, max(0.5, adaptiveTolerance*float64(g.minLatency)/float64(mean)))
	next := g.limit*gradient + adaptiveHeadroom
	if float64(g.inFlight) < g.limit/2 {
		next = min(next, g.limit)
	}
	g.limit = min(float64(g.node.target.conns), g.limit*(1-adaptiveSmoothing)+next*adaptiveSmoothing)
}

func (*limitGate) cancel(*attempt)                        {}
func (*limitGate) feedback(a *attempt) (x calleeFeedback) { return x }
