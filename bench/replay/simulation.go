package replay

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"peardrift/bench/replay/workload"
	"peardrift/internal/core/earlyrefusal"
	"peardrift/internal/core/request"
	"peardrift/internal/dataplane"
	"peardrift/internal/status"
)

// announceDelay is the time until other nodes know of a joining or leaving target.
// A leaving target refuses calls that arrive in the meantime.
const announceDelay = time.Second

// service is a set of targets and their membership as other nodes know it.
type service struct {
	index      int
	spec       workload.Service
	nodes      []*node // all nodes ever started, indexed by Event.Target
	members    []*node // announced
	generation int     // incremented with each change of members
	slowdown   float64
}

func (s *service) bit() uint64 { return 1 << s.index }

// simulation is the state of one run.
type simulation struct {
	eventLoop
	deployment         *workload.Deployment
	policy             Policy
	rng                *rand.Rand
	services           []*service
	tenants            []string
	zones              [][]*node
	nodeCount          int
	aggressiveFraction float64
	clientTimeout      time.Duration // for one attempt
	cfg                dataplane.Config
	recorder           *recorder
}

func newSimulation(d *workload.Deployment, p Policy, h workload.Header, seed uint64) *simulation {
	sim := &simulation{deployment: d, policy: p, aggressiveFraction: h.AggressiveFraction, rng: rand.New(rand.NewPCG(seed, 0x3c0e)), cfg: dataplane.DefaultConfig()}
	if p.Platform {
		sim.cfg = dataplane.IntegratedConfig()
		sim.cfg.Retry.FleetBudget, sim.cfg.Retry.FleetWindow = platformRetryBudget, platformRetryWindow
	}
	sim.clientTimeout = time.Duration(float64(d.Timeout) / max(1, h.TimeoutDivisor))
	sim.zones = make([][]*node, d.Zones)
	sim.recorder = newRecorder(sim, h)
	for i := range d.Classes {
		if !slices.Contains(sim.tenants, d.Classes[i].Tenant) {
			sim.tenants = append(sim.tenants, d.Classes[i].Tenant)
		}
	}
	for i, s := range d.Services {
		svc := &service{index: i, spec: s, slowdown: 1}
		sim.services = append(sim.services, svc)
		for range s.Targets {
			n := sim.addNode(svc)
			svc.members = append(svc.members, n)
		}
	}
	return sim
}

// addNode adds a target with its node to a service. Each service starts in a different
// zone, so that uneven target counts don't all leave the same zone short.
func (sim *simulation) addNode(svc *service) *node {
	n := &node{sim: sim, index: sim.nodeCount, service: svc, zone: (len(svc.nodes) + svc.index) % sim.deployment.Zones}
	sim.nodeCount++
	n.id = request.TargetIDOf(fmt.Sprintf("%s-%d", svc.spec.Name, len(svc.nodes)))
	n.target = target{slots: svc.spec.Slots, workingSlots: svc.spec.Slots, conns: svc.spec.Connections,
		speed: svc.spec.Speed(len(svc.nodes)), started: sim.now}
	n.reset()
	svc.nodes = append(svc.nodes, n)
	sim.zones[n.zone] = append(sim.zones[n.zone], n)
	return n
}

// reset gives the node the state of a newly started process.
func (n *node) reset() {
	n.inFlight = map[uint64]*attempt{}
	n.entryCalls = map[uint64]*call{}
	n.outbounds = map[string]*outbound{}
	n.levels = earlyrefusal.NewTable(&n.sim.cfg.Early, n.sim.rng)
	n.chain = earlyrefusal.NewChain(&n.sim.cfg.Early, n.levels)
	n.gate = newGate(n)
}

func (sim *simulation) service(name string) *service {
	i := slices.IndexFunc(sim.services, func(s *service) bool { return s.spec.Name == name })
	return sim.services[i]
}

// networkDelay returns the one-way delay between two nodes.
func (sim *simulation) networkDelay(a, b *node) time.Duration {
	if a.zone == b.zone {
		return sim.deployment.LocalDelay
	}
	return sim.deployment.ZoneDelay
}

// childDeadline returns the deadline of a child call.
func (sim *simulation) childDeadline(above time.Duration) time.Duration {
	if sim.policy.Deadlines {
		return above
	}
	return sim.now + sim.clientTimeout
}

// applyFault applies a fault event of the trace.
func (sim *simulation) applyFault(e *workload.Event) {
	svc := sim.service(e.Service)
	switch e.Fault {
	case workload.Slow:
		svc.slowdown = e.Factor
		if e.Factor > 1 {
			sim.recorder.condition.Slowdown[e.Service] = e.Factor
		}
	case workload.Start:
		sim.startTarget(svc)
	case workload.Drain:
		sim.drainNode(svc.nodes[e.Target])
	case workload.Restart:
		svc.nodes[e.Target].restart()
	case workload.FailFast:
		svc.nodes[e.Target].target.failFast = e.Factor > 0
	case workload.Crash:
		sim.crashNode(svc.nodes[e.Target])
	case workload.Shrink:
		sim.shrinkSlots(svc, e.Factor)
	case workload.ReportNoLoad:
		svc.nodes[e.Target].target.reportsNoLoad = e.Factor > 0
	}
}

// crashNode stops a target and its node without warning. Other nodes notice broken
// connections at once and the changed membership after announceDelay.
func (sim *simulation) crashNode(n *node) {
	sim.recorder.condition.WorkingFraction[n.service.spec.Name] = factorOrOne(sim.recorder.condition.WorkingFraction, n.service.spec.Name) - 1/float64(n.service.spec.Targets)
	n.restart()
	n.crashed = true
	sim.drainNode(n)
}

// shrinkSlots leaves 1/by of the slots of each target working.
func (sim *simulation) shrinkSlots(svc *service, by float64) {
	if by > 1 {
		sim.recorder.condition.WorkingFraction[svc.spec.Name] = 1 / by
	}
	for _, n := range svc.nodes {
		n.target.workingSlots = max(1, int(float64(n.target.slots)/by))
	}
}

func factorOrOne(m map[string]float64, service string) float64 {
	if f, ok := m[service]; ok {
		return f
	}
	return 1
}

func (sim *simulation) startTarget(svc *service) {
	n := sim.addNode(svc)
	n.target.cold = true
	sim.after(announceDelay, func() {
		svc.generation++
		svc.members = append(slices.Clone(svc.members), n)
	})
}

func (sim *simulation) drainNode(n *node) {
	n.draining = true
	sim.after(announceDelay, func() {
		n.service.generation++
		n.service.members = slices.DeleteFunc(slices.Clone(n.service.members), func(x *node) bool { return x == n })
		for _, s := range sim.services {
			for _, other := range s.nodes {
				other.levels.Forget(n.id)
			}
		}
	})
}

// restart ends all calls of the node: callers lose their connections, and the target
// stops its work.
func (n *node) restart() {
	for _, a := range sortedValues(n.inFlight, func(a *attempt) uint64 { return a.seq }) {
		n.finish(a, result{outcome: request.Unknown, code: status.CodeConnectionLost})
	}
	for _, c := range sortedValues(n.entryCalls, func(c *call) uint64 { return c.entryID }) {
		c.cancel()
		c.onDone(result{outcome: request.Unknown, code: status.CodeConnectionLost})
	}
	n.reset()
}

// sortedValues returns a map's values sorted by key, so that runs are deterministic.
func sortedValues[V any](m map[uint64]V, key func(V) uint64) []V {
	out := make([]V, 0, len(m))
	for _, v := range m {
		out = append(out, v)
	}
	slices.SortFunc(out, func(a, b V) int { return int(key(a)) - int(key(b)) })
	return out
}

// Run simulates a trace with a policy. The seed determines service times and random
// choices.
func Run(d *workload.Deployment, tr *workload.Trace, p Policy, seed uint64) *Result {
	sim := newSimulation(d, p, tr.Header, seed)
	next := 0
	var feed func()
	feed = func() {
		e := &tr.Events[next]
		if e.Fault != "" {
			sim.applyFault(e)
		} else {
			sim.startUser(e)
		}
		if next++; next < len(tr.Events) {
			sim.at(tr.Events[next].T, feed)
		}
	}
	if len(tr.Events) > 0 {
		sim.at(tr.Events[0].T, feed)
	}
	sim.run(tr.Header.Duration + d.RetryWindow)
	return sim.recorder.result()
}
