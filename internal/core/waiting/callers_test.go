package waiting_test

import (
	"container/heap"
	"encoding/binary"
	"flag"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"peardrift/internal/core/admission"
	"peardrift/internal/core/earlyrefusal"
	"peardrift/internal/core/pace"
	"peardrift/internal/core/request"
	"peardrift/internal/core/waiting"
)

// The simulated service: its demand is over twice its capacity for seconds, and under
// half of it seconds later.
const (
	simTargets   = 5
	simSlots     = 42
	simEntries   = 85
	simCalls     = 4                     // of a request, one after the other
	simWork      = 40 * time.Millisecond // of a call, on average
	simObjective = 1200 * time.Millisecond
	simTimeout   = 2400 * time.Millisecond
	simHop       = time.Millisecond
	simEnd       = 62 * time.Second
	simWarmUp    = 14 * time.Second
	simLeast     = 10 // importances
	simMost      = 60
	simAttempts  = 3
)

var simKey = earlyrefusal.Key{Service: "deep.t", Class: "chain", Tenant: "t"}

// simDemand returns the part of the capacity that is asked for.
func simDemand(now time.Duration) float64 {
	return 1.08 * (1 + 0.55*math.Sin(2*math.Pi*now.Seconds()/15))
}

type simEvent struct {
	at  time.Duration
	seq int
	f   func()
}

type simEvents []simEvent

func (s simEvents) Len() int { return len(s) }
func (s simEvents) Less(i, j int) bool {
	return s[i].at < s[j].at || s[i].at == s[j].at && s[i].seq < s[j].seq
}
func (s simEvents) Swap(i, j int) { s[i], s[j] = s[j], s[i] }
func (s *simEvents) Push(x any)   { *s = append(*s, x.(simEvent)) }
func (s *simEvents) Pop() any {
	x := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return x
}

type simGate struct {
	id    int
	core  *admission.Gate
	calls map[admission.Ticket]*simRequest
	load  int
}

type simEntry struct {
	table   *earlyrefusal.Table
	pace    *pace.Table
	queue   *waiting.Queue // nil: refusal by hash
	waiting map[waiting.Ticket]*simRequest
}

// simRequest is one request of a caller, who may send it three times.
type simRequest struct {
	entry       *simEntry
	id          request.ID
	importance  request.Importance
	first, sent time.Duration // when it was first sent and last sent
	started     time.Duration
	returns     int
	callsLeft   int
	attempts    int
	priority    request.Priority
	tried       [simTargets]bool // by the call in progress
}

// simMode is how an entry decides, and what its callers state.
type simMode int

const (
	simByHash  simMode = iota // refusal by hash
	simUnaware                // waiting; callers state no time
	simWaiting                // waiting; callers state the time that they have left
)

// simResult counts what callers of one importance got.
type simResult struct {
	sent, served, afterReturn, refusedTwice int
	inTime                                  int // within the objective, counted from the send that was answered
	inTimeOfFirst                           int // within the objective, counted from the first send
	started, failedAfterStart               int
	refusals                                int
	held                                    time.Duration // sum of the times before refusals
}

type sim struct {
	mode    simMode
	now     time.Duration
	rng     *rand.Rand
	events  simEvents
	seq     int
	ticket  uint64
	gates   []*simGate
	entries []*simEntry
	results map[request.Importance]*simResult
}

func newSim(seed uint64, mode simMode) *sim {
	wait := mode != simByHash
	s := &sim{mode: mode, rng: rand.New(rand.NewPCG(seed, 7)), results: map[request.Importance]*simResult{simLeast: {}, simMost: {}}}
	gcfg, ecfg := admission.DefaultConfig(), earlyrefusal.DefaultConfig()
	if wait {
		gcfg, ecfg = gcfg.WithPacing(), ecfg.WithPacing()
	}
	for i := range simTargets {
		g := &simGate{id: i, core: admission.New(gcfg, s.rng), calls: map[admission.Ticket]*simRequest{}}
		g.core.SetCapacity(simSlots)
		s.gates = append(s.gates, g)
		s.tickGate(g)
	}
	for range simEntries {
		e := &simEntry{table: earlyrefusal.NewTable(&ecfg, s.rng), waiting: map[waiting.Ticket]*simRequest{}}
		e.pace = pace.New(pace.DefaultConfig(), e.table)
		if wait {
			cfg := waiting.DefaultConfig()
			cfg.SetBounds(128<<20, 4096)
			e.queue = waiting.New(cfg, e.pace, s.rng)
			s.tickEntry(e)
		}
		s.entries = append(s.entries, e)
	}
	return s
}

func (s *sim) after(d time.Duration, f func()) {
	s.seq++
	heap.Push(&s.events, simEvent{s.now + d, s.seq, f})
}

func (s *sim) run() {
	s.arrivals()
	for len(s.events) > 0 && s.now < simEnd {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.f()
	}
}

// arrivals sends requests at the demanded rate, a third of them important.
func (s *sim) arrivals() {
	capacity := float64(simTargets*simSlots) / (simWork.Seconds() * simCalls) // requests a second
	gap := s.rng.ExpFloat64() / (capacity * simDemand(s.now))
	s.after(time.Duration(gap*float64(time.Second)), func() {
		r := &simRequest{entry: s.entries[s.rng.IntN(simEntries)], importance: simLeast, first: s.now}
		if s.rng.IntN(3) == 0 {
			r.importance = simMost
		}
		s.result(r).sent++
		s.send(r)
		s.arrivals()
	})
}

// result returns the counts for a request; those of the warm-up are dropped.
func (s *sim) result(r *simRequest) *simResult {
	if r.first < simWarmUp || r.first > simEnd-simTimeout {
		return &simResult{}
	}
	return s.results[r.importance]
}

func (s *sim) newID() (id request.ID) {
	binary.BigEndian.PutUint64(id[:], s.rng.Uint64())
	return id
}

func (s *sim) send(r *simRequest) {
	r.sent, r.callsLeft, r.id = s.now, simCalls, s.newID()
	r.attempts, r.tried = 0, [simTargets]bool{}
	e := r.entry
	if e.queue == nil {
		v := e.table.Check(s.now, simKey, request.PriorityOf(r.importance, r.id))
		if v.Refuse {
			s.refused(r, v.RetryAfter)
			return
		}
		s.start(r)
		return
	}
	s.ticket++
	t := waiting.Ticket(s.ticket)
	e.waiting[t] = r
	e.pace.Arrived(s.now, simKey, r.importance)
	d, as := e.queue.Arrive(s.now, waiting.Request{
		Ticket: t, Key: simKey, Importance: r.importance, Arrived: s.now, Objective: simObjective,
		Deadline: r.first + simTimeout, Stated: s.stated(r), Bytes: waiting.RequestBytes,
	}, nil)
	s.applyEntry(e, as)
	if d.Verdict != waiting.Wait {
		s.applyEntry(e, []waiting.Action{{Ticket: t, Decision: d}})
	}
}

// stated returns the time that the caller states.
func (s *sim) stated(r *simRequest) time.Duration {
	if s.mode == simUnaware {
		return 0
	}
	return r.first + simTimeout - s.now
}

func (s *sim) applyEntry(e *simEntry, as []waiting.Action) {
	for _, a := range as {
		r := e.waiting[a.Ticket]
		delete(e.waiting, a.Ticket)
		if a.Verdict == waiting.Start {
			if level := e.pace.DrawLevel(simKey, r.importance); request.PriorityOf(r.importance, r.id) < level {
				r.id = request.Draw(r.importance, level, s.newID)
			}
			s.start(r)
			continue
		}
		s.refused(r, a.RetryAfter)
	}
}

func (s *sim) tickEntry(e *simEntry) {
	s.applyEntry(e, e.queue.Tick(s.now, nil))
	s.after(time.Millisecond, func() { s.tickEntry(e) })
}

// refused lets the caller return as told, but within a third of the time that it has left.
func (s *sim) refused(r *simRequest, after time.Duration) {
	left := r.first + simTimeout - s.now
	s.result(r).refusals++
	s.result(r).held += s.now - r.sent
	if r.returns == 1 {
		s.result(r).refusedTwice++
	}
	if r.returns == 2 || left < 100*time.Millisecond {
		return
	}
	r.returns++
	s.after(min(after, left/3), func() { s.send(r) })
}

func (s *sim) start(r *simRequest) {
	r.started, r.priority = s.now, request.PriorityOf(r.importance, r.id)
	s.result(r).started++
	s.call(r)
}

// call sends the request's next call to the less loaded of two targets that have not
// refused it.
func (s *sim) call(r *simRequest) {
	var g *simGate
	order := s.rng.Perm(simTargets)
	for n, i := 0, 0; n < 2 && i < simTargets; i++ {
		if o := s.gates[order[i]]; !r.tried[o.id] {
			n++
			if g == nil || o.load < g.load {
				g = o
			}
		}
	}
	r.tried[g.id] = true
	g.load++
	s.ticket++
	t := admission.Ticket(s.ticket)
	s.after(simHop, func() {
		g.calls[t] = r
		d, as := g.core.Arrive(s.now, admission.Arrival{
			Ticket: t, Priority: r.priority, Deadline: r.first + simTimeout, Nested: r.callsLeft < simCalls,
		}, nil)
		s.applyGate(g, as)
		if d.Verdict != admission.Queue {
			s.applyGate(g, []admission.Action{{Ticket: t, Decision: d}})
		}
	})
}

func (s *sim) applyGate(g *simGate, as []admission.Action) {
	for _, a := range as {
		if a.Verdict != admission.Admit {
			s.ended(g, a.Ticket, false)
			continue
		}
		work := time.Duration((0.5 + s.rng.Float64()) * float64(simWork))
		s.after(work, func() {
			s.applyGate(g, g.core.Finish(s.now, a.Ticket, admission.OK, 0, nil))
			s.ended(g, a.Ticket, true)
		})
	}
}

func (s *sim) tickGate(g *simGate) {
	s.applyGate(g, g.core.Tick(s.now, nil))
	s.after(5*time.Millisecond, func() { s.tickGate(g) })
}

// ended brings a call's answer, with the gate's level, back to the entry.
func (s *sim) ended(g *simGate, t admission.Ticket, ok bool) {
	r := g.calls[t]
	delete(g.calls, t)
	g.load--
	level, exempt := g.core.TenantLevel(0)
	s.after(simHop, func() {
		r.entry.table.Learn(s.now, simKey, earlyrefusal.Report{
			Target: request.TargetID(g.id + 1), Own: level, Exempt: exempt, Slots: simSlots,
		})
		r.attempts++
		switch {
		case s.now > r.first+simTimeout:
		case ok && r.callsLeft > 1:
			r.callsLeft--
			r.attempts, r.tried = 0, [simTargets]bool{}
			s.call(r)
		case ok:
			s.completed(r)
		case r.attempts < simAttempts && r.priority >= r.entry.table.Level(s.now, simKey, r.priority):
			s.call(r)
		default:
			s.result(r).failedAfterStart++
		}
	})
}

func (s *sim) completed(r *simRequest) {
	if r.entry.queue != nil {
		r.entry.queue.Finished(s.now, simKey, s.now-r.started)
	}
	s.result(r).served++
	if s.now <= r.sent+simObjective {
		s.result(r).inTime++
	}
	if s.now <= r.first+simObjective {
		s.result(r).inTimeOfFirst++
	}
	if r.returns == 1 {
		s.result(r).afterReturn++
	}
}

// simSeeds is the number of runs that a mode's results are summed over.
var simSeeds = flag.Uint64("callers.seeds", 2, "runs of the simulation of callers")

// Guards against waiting that gives callers less than the refusal by hash. In a wave of
// demand of up to 1.7 times the capacity, more requests of each importance must be served,
// more of them within their objective, also counted from the first send, fewer refused
// twice, and fewer than 3 in 100 may fail after their start.
func TestCallersGetMoreByWaiting(t *testing.T) {
	is := is.New(t)
	hash, wait := runSims(simByHash), runSims(simWaiting)
	for _, imp := range []request.Importance{simLeast, simMost} {
		h, w := hash[imp], wait[imp]
		h.log(t, "by hash", imp)
		w.log(t, "waiting", imp)
		is.True(share(w.served, w.sent) >= share(h.served, h.sent))
		is.True(share(w.inTime, w.sent) >= share(h.inTime, h.sent))
		is.True(share(w.inTimeOfFirst, w.sent) >= share(h.inTimeOfFirst, h.sent))
		is.True(share(w.refusedTwice, w.sent) <= share(h.refusedTwice, h.sent))
		is.True(share(w.failedAfterStart, w.started) < 0.03)
	}
}

// Guards against returns that are taken for new requests: counted from the first send,
// fewer requests would be served within the objective than callers' stated times allow.
func TestStatedTimesServeMoreInTimeOfFirstSend(t *testing.T) {
	unaware, wait := runSims(simUnaware)[simLeast], runSims(simWaiting)[simLeast]
	unaware.log(t, "no time stated", simLeast)
	wait.log(t, "waiting", simLeast)
	is.New(t).True(share(wait.inTimeOfFirst, wait.sent) > share(unaware.inTimeOfFirst, unaware.sent))
}

func share(n, of int) float64 { return float64(n) / float64(of) }

func (r *simResult) log(t *testing.T, mode string, imp request.Importance) {
	of := func(n int) float64 { return 100 * share(n, r.sent) }
	t.Logf("%s, importance %d: served %.1f, in time of the answered send %.1f, of the first send %.1f, late %.1f, "+
		"after one return %.1f, refused twice %.1f, failed after start %.1f, refusals %.1f, held before a refusal %v",
		mode, imp, of(r.served), of(r.inTime), of(r.inTimeOfFirst), of(r.served-r.inTimeOfFirst), of(r.afterReturn),
		of(r.refusedTwice), 100*share(r.failedAfterStart, r.started), of(r.refusals),
		(r.held / time.Duration(max(r.refusals, 1))).Round(time.Millisecond))
}

// runSims returns the sums of several runs.
func runSims(mode simMode) map[request.Importance]*simResult {
	results := map[request.Importance]*simResult{simLeast: {}, simMost: {}}
	for seed := range *simSeeds {
		s := newSim(seed, mode)
		s.results = results
		s.run()
	}
	return results
}
