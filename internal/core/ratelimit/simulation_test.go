package ratelimit

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"peardrift/internal/core/request"
	"peardrift/internal/simtime"
)

// simulation runs nodes, their messages and the platform's table in virtual time.
type simulation struct {
	simtime.Queue
	t     testing.TB
	rng   *rand.Rand
	cfg   Config
	nodes []*simNode
	// orgs are the organisations; most tests have one.
	orgs    []*simOrg
	limitOf map[request.Organisation]Limit // set at the first use
	// repeats: callers repeat a refused request once, at any node.
	repeats bool

	row     Row
	version int64
	down    bool // the table is unreachable

	lossy bool // messages are lost and delayed
	asks  int  // requests to lease holders
	bytes int  // of these and their replies, by the node's estimate
}

// simOrg is an organisation and what its callers got.
type simOrg struct {
	id    request.Organisation
	limit Limit

	arrived  int
	admitted int
	taken    []time.Duration // of requests that ran
	arrivals []time.Duration // of all requests, repeats included
	refused  map[Verdict]int
}

// reset forgets what was counted so far.
func (o *simOrg) reset() {
	o.arrived, o.admitted, o.taken, o.arrivals, o.refused = 0, 0, nil, nil, make(map[Verdict]int)
}

type simNode struct {
	w           *simulation
	id          request.TargetID
	incarnation uint64
	up          bool
	partitioned bool
	tableDown   bool          // can't reach the table
	frozenUntil time.Duration // frozen until this time
	speed       float64       // of its clock
	base        time.Duration // of its clock
	lease       *Lease
	local       *Local

	seq       uint64
	busy      bool // a request to the lease holder is in flight
	urgent    map[request.Organisation]bool
	waiting   []func() // called after the next reply
	reportAll bool
	target    request.TargetID // the lease holder if known; 0: choose by Order
	avoid     map[request.TargetID]time.Duration
	rate      float64 // requests per second of the first organisation
}

func newSimulation(t testing.TB, seed uint64, n int, limit Limit) *simulation {
	cfg := DefaultConfig()
	cfg.Terms.Slack = 20
	w := &simulation{t: t, rng: rand.New(rand.NewPCG(seed, 1)), cfg: cfg, orgs: []*simOrg{{id: "acme", limit: limit}}}
	w.orgs[0].reset()
	for i := range n {
		nd := &simNode{w: w, id: request.TargetIDOf(fmt.Sprint("node", i)), speed: 1 + 0.002*(w.rng.Float64()-0.5)}
		w.nodes = append(w.nodes, nd)
		w.After(time.Duration(w.rng.Int64N(int64(300*time.Millisecond))), func() { nd.start(true) })
	}
	return w
}

func (w *simulation) node(id request.TargetID) *simNode {
	for _, n := range w.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}

func (w *simulation) limits(id request.Organisation) (Limit, bool) {
	if w.limitOf == nil {
		w.limitOf = make(map[request.Organisation]Limit)
		for _, o := range w.orgs {
			w.limitOf[o.id] = o.limit
		}
	}
	limit, ok := w.limitOf[id]
	return limit, ok
}

// clock returns the node's local time.
func (n *simNode) clock() time.Duration {
	return n.base + time.Duration(float64(n.w.Now)*n.speed)
}

func (n *simNode) start(first bool) {
	n.incarnation = n.w.rng.Uint64()
	n.up, n.busy, n.reportAll, n.target = true, false, true, 0
	n.base = time.Duration(n.w.rng.Int64N(int64(time.Hour)))
	n.lease = NewLease(n.w.cfg, n.id, n.incarnation, first)
	n.local = NewLocal(n.w.cfg)
	n.avoid = make(map[request.TargetID]time.Duration)
	n.urgent, n.waiting = make(map[request.Organisation]bool), nil
	incarnation := n.incarnation
	n.tick(incarnation)
	n.arrive(incarnation)
}

func (n *simNode) kill(down time.Duration) {
	n.up, n.incarnation = false, 0
	if down > 0 {
		n.w.After(down, func() {
			if !n.up {
				n.start(false)
			}
		})
	}
}

// whenAwake runs f if the node still has the same incarnation, after its freeze if
// frozen.
func (n *simNode) whenAwake(incarnation uint64, f func()) {
	if !n.up || n.incarnation != incarnation {
		return
	}
	if n.w.Now < n.frozenUntil {
		n.w.After(n.frozenUntil-n.w.Now, func() { n.whenAwake(incarnation, f) })
		return
	}
	f()
}

func (n *simNode) later(incarnation uint64, d time.Duration, f func()) {
	n.w.After(d, func() { n.whenAwake(incarnation, f) })
}

const simTick = 200 * time.Millisecond

func (n *simNode) tick(incarnation uint64) {
	if n.w.rng.IntN(5) == 0 || n.reportAll {
		n.ask(incarnation)
	}
	n.callTable(incarnation)
	n.later(incarnation, simTick, func() { n.tick(incarnation) })
}

// callTable makes the lease's next call to the table.
func (n *simNode) callTable(incarnation uint64) {
	step, row, version := n.lease.Next(n.clock())
	if step == Idle {
		return
	}
	w := n.w
	lost := w.down || n.partitioned || n.tableDown || w.loses()
	there, back := w.delay(), w.delay()
	if step == Write {
		// A write whose answer is lost may take effect, at once or seconds later.
		if !lost || w.rng.IntN(2) == 0 && !n.partitioned {
			if lost && w.rng.IntN(2) == 0 {
				there += time.Duration(w.rng.Int64N(int64(5 * time.Second)))
			}
			w.After(there, func() {
				if w.version == version {
					w.row, w.version = row, w.version+1
				}
			})
		}
		n.later(incarnation, w.delay()+back, func() { n.lease.HandleWrite(n.clock(), true); n.callTable(incarnation) })
		return
	}
	if lost {
		n.later(incarnation, time.Second, func() { n.lease.HandleFailure(n.clock()) })
		return
	}
	w.After(there, func() {
		row, version := w.row, w.version
		n.later(incarnation, back, func() { n.lease.HandleRow(n.clock(), row, version); n.callTable(incarnation) })
	})
}

func (w *simulation) loses() bool { return w.lossy && w.rng.IntN(50) == 0 }

func (w *simulation) delay() time.Duration {
	d := time.Duration(w.rng.Int64N(int64(4 * time.Millisecond)))
	if w.lossy && w.rng.IntN(100) == 0 {
		d += time.Duration(w.rng.Int64N(int64(2 * time.Second))) // delayed
	}
	return d
}

// askedNode returns the node to ask.
func (n *simNode) askedNode() *simNode {
	var best *simNode
	for _, m := range n.w.nodes {
		if until, ok := n.avoid[m.id]; ok && n.clock() < until {
			continue
		}
		if n.target == m.id {
			return m
		}
		if best == nil || m.id.SortKey(7) > best.id.SortKey(7) {
			best = m
		}
	}
	return best
}

// ask asks the lease holder for what is due and for the urgent organisations.
func (n *simNode) ask(incarnation uint64) {
	if n.busy {
		return
	}
	w, m := n.w, n.askedNode()
	if m == nil {
		return
	}
	now := n.clock()
	a := &GrantRequest{Node: n.id, Incarnation: incarnation, Starting: n.reportAll, Needs: n.needs(now)}
	if len(a.Needs) == 0 && !n.reportAll {
		return
	}
	n.seq++
	a.Seq = n.seq
	n.busy = true
	answered := false
	fail := func() {
		if answered {
			return
		}
		answered, n.busy = true, false
		n.avoid[m.id], n.target = n.clock()+2*time.Second, 0
		n.replied(incarnation)
	}
	n.later(incarnation, 700*time.Millisecond, fail)
	if n.partitioned || m.partitioned || w.loses() {
		return
	}
	w.After(w.delay(), func() {
		m.whenAwake(m.incarnation, func() {
			r := m.lease.Ask(m.clock(), a, w.limits)
			w.asks++
			w.bytes += simAskBytes + simNeedBytes/2*(len(a.Needs)+len(r.Grants))
			if h := w.node(r.Holder); !r.Divides && h != nil && !h.up {
				m.lease.HolderGone(m.clock(), h.id) // nothing listens at its address
			}
			m.callTable(m.incarnation)
			if n.partitioned || m.partitioned || w.loses() {
				return
			}
			n.later(incarnation, w.delay(), func() {
				if answered {
					return
				}
				answered, n.busy = true, false
				n.handleReply(now, m, r)
				n.replied(incarnation)
			})
		})
	})
}

// Bytes of a request with its reply, and of one organisation in both.
const simAskBytes, simNeedBytes = 60, 60

// needs returns what to ask for, as the node does.
func (n *simNode) needs(now time.Duration) []Need {
	needs := n.local.Needs(now, func(request.Organisation) bool { return true }, n.reportAll, n.w.limits)
	for i := range needs {
		delete(n.urgent, needs[i].Organisation)
	}
	for _, o := range slices.Sorted(maps.Keys(n.urgent)) {
		limit, _ := n.w.limits(o)
		if need, ok := n.local.NeedOf(now, o, limit); ok {
			needs = append(needs, need)
		}
	}
	clear(n.urgent)
	return needs
}

// replied continues the requests that waited for a reply.
func (n *simNode) replied(incarnation uint64) {
	waiting := n.waiting
	n.waiting = nil
	for _, f := range waiting {
		f()
	}
	if len(n.urgent) > 0 {
		n.ask(incarnation)
	}
}

func (n *simNode) handleReply(asked time.Duration, m *simNode, r GrantReply) {
	if !r.Divides {
		n.target = r.Holder
		if r.Holder == 0 || r.Holder == m.id {
			n.target = 0
			n.avoid[m.id] = n.clock() + 300*time.Millisecond
		}
		return
	}
	n.target = m.id
	n.reportAll = false
	n.local.Apply(n.clock(), asked, r.Grants, n.w.limits)
}

// arrive simulates requests of the first organisation at the node.
func (n *simNode) arrive(incarnation uint64) {
	if n.rate <= 0 {
		n.later(incarnation, 100*time.Millisecond, func() { n.arrive(incarnation) })
		return
	}
	gap := time.Duration(n.w.rng.ExpFloat64() / n.rate * float64(time.Second))
	n.later(incarnation, gap, func() {
		n.receive(n.w.orgs[0], false)
		n.arrive(incarnation)
	})
}

// receive handles a request of an organisation from outside.
func (n *simNode) receive(o *simOrg, repeated bool) {
	n.local.Count(n.clock(), o.id)
	o.arrived++
	o.arrivals = append(o.arrivals, n.w.Now)
	n.request(n.incarnation, o, n.w.Now+simTakeTimeout, repeated)
}

// simTakeTimeout is how long a request waits for a grant.
const simTakeTimeout = 100 * time.Millisecond

func (n *simNode) request(incarnation uint64, o *simOrg, until time.Duration, repeated bool) {
	now, w := n.clock(), n.w
	switch v := n.local.Take(now, o.id, o.limit); {
	case v == Admit:
		o.admitted++
		if w.rng.IntN(10) == 0 { // refused elsewhere, so it ran nowhere
			n.later(incarnation, time.Duration(w.rng.Int64N(int64(100*time.Millisecond))), func() {
				n.local.Return(n.clock(), now, o.id, o.limit)
			})
			return
		}
		o.taken = append(o.taken, w.Now)
	case v == Unknown && w.Now < until:
		n.wait(incarnation, o, until, repeated)
	default:
		o.refused[v]++
		if w.repeats && !repeated {
			w.After(minSimRetryAfter+time.Duration(w.rng.Int64N(int64(minSimRetryAfter))), func() { w.send(o, true) })
		}
	}
}

// minSimRetryAfter is the minimum time after which a caller repeats a refused request.
const minSimRetryAfter = 700 * time.Millisecond

// wait asks for the organisation's grant and tries again after the reply or the timeout.
func (n *simNode) wait(incarnation uint64, o *simOrg, until time.Duration, repeated bool) {
	done := false
	again := func() {
		if !done {
			done = true
			n.request(incarnation, o, until, repeated)
		}
	}
	n.waiting = append(n.waiting, again)
	n.later(incarnation, until-n.w.Now, again)
	first := len(n.urgent) == 0
	n.urgent[o.id] = true
	if first {
		n.ask(incarnation)
	}
}

// maxInWindow returns the maximum number of requests that ran in one window.
func (o *simOrg) maxInWindow(window time.Duration) (most int, at time.Duration) {
	slices.Sort(o.taken)
	from := 0
	for i, t := range o.taken {
		for o.taken[from] < t-window {
			from++
		}
		if i-from+1 > most {
			most, at = i-from+1, t
		}
	}
	return most, at
}

func (t Terms) bound(l Limit) float64 {
	return (l.Rate*t.Window.Seconds()+l.Burst)*(1+t.Excess) + t.Slack
}

// watchHoldings checks every 20 ms that nodes hold no more than the limit, and less
// often with many organisations.
func (w *simulation) watchHoldings(what string) {
	for _, o := range w.orgs {
		w.checkHoldings(what, o)
	}
	w.After(20*time.Millisecond*time.Duration(min(len(w.orgs), 5)), func() { w.watchHoldings(what) })
}

func (w *simulation) checkHoldings(what string, o *simOrg) {
	rate, capacity := 0.0, 0.0
	for _, n := range w.nodes {
		if !n.up {
			continue
		}
		if b := n.local.buckets[o.id]; b != nil && n.clock() < b.expiresAt {
			rate += float64(b.part.Rate)
			capacity += float64(b.part.Capacity)
		}
	}
	const rounding = 1e-4
	if rate > o.limit.Rate*(1+rounding) || capacity > w.cfg.Terms.capacity(o.limit)*(1+rounding) {
		w.t.Fatalf("%s: at %v nodes hold a rate of %.2f per second and a capacity of %.2f tokens of %s", what, w.Now, rate, capacity, o.id)
	}
}

// checkBound fails if more requests ran in some window than the terms allow.
func (w *simulation) checkBound(what string) {
	w.t.Helper()
	for _, o := range w.orgs {
		bound := w.cfg.Terms.bound(o.limit)
		if most, at := o.maxInWindow(w.cfg.Terms.Window); float64(most) > bound {
			w.t.Fatalf("%s: %d requests of %s ran in the window up to %v; the bound is %v", what, most, o.id, at, bound)
		}
	}
}
