package waiting

import (
	"math/rand/v2"
	"slices"
	"time"

	"peardrift/internal/core/earlyrefusal"
	"peardrift/internal/core/request"
	"peardrift/internal/status"
)

// entry is one waiting request.
type entry struct {
	ticket    Ticket
	group     *group
	due       time.Duration // instant by which the answer is wanted
	span      time.Duration // from arrival to due
	bytes     int
	seq       uint64 // order of arrival
	bestIndex int    // in group.best
	lastIndex int    // in group.last
}

// group holds the waiting requests of one key and importance that can meet their
// objective, or the returns that can't.
type group struct {
	state      *keyState
	importance request.Importance
	late       bool
	sibling    *group         // of the same importance, late or not; nil: none
	rank       int8           // place in the order of the importance's groups, while in Queue.due
	best, last heapOf[*entry] // by least slack; by most slack
	wake       time.Duration  // when it has to be looked at again
	wakeIndex  int            // in Queue.wakes; -1: nothing waits
	headStart  time.Duration  // latest start of the most urgent request, while in Queue.due
	dueIndex   int            // in Queue.due
	rate       startRate
}

// keyState holds what is known of one key.
type keyState struct {
	key    earlyrefusal.Key
	times  chainTimes
	stated statedTimes
	groups []*group // by importance, highest first, and late ones after the others
}

// Queue holds the waiting requests of one entry node.
type Queue struct {
	cfg     Config
	pacer   Pacer
	rng     *rand.Rand
	keys    map[earlyrefusal.Key]*keyState
	tickets map[Ticket]*entry
	free    []*entry
	wakes   heapOf[*group] // groups with waiting requests, by wake
	due     heapOf[*group] // groups that Tick looks at, by urgency; otherwise empty
	bytes   int64
	// bytesAt is the part of bytes at each importance.
	bytesAt [request.MaxImportance + 1]int64
	seq     uint64
	drained bool
}

// New returns an empty queue. rng adds jitter to retry delays.
func New(cfg Config, p Pacer, rng *rand.Rand) *Queue {
	return &Queue{
		cfg: cfg, pacer: p, rng: rng,
		keys:    make(map[earlyrefusal.Key]*keyState),
		tickets: make(map[Ticket]*entry),
		wakes: heapOf[*group]{
			before: func(a, b *group) bool { return a.wake < b.wake },
			pos:    func(g *group) *int { return &g.wakeIndex },
		},
		due: heapOf[*group]{before: precedes, pos: func(g *group) *int { return &g.dueIndex }},
	}
}

// Arrive decides on a new request.
func (q *Queue) Arrive(now time.Duration, r Request, out []Action) (Decision, []Action) {
	out = q.Tick(now, out)
	s := q.state(r.Key)
	if s == nil {
		return q.decideUnknown(now, &r), out
	}
	q.date(now, &r, s)
	g := s.group(r.Importance, r.late)
	latest := q.latest(now, &r, s)
	if (!r.late || now <= latest) && s.isNext(g) && q.pacer.Start(now, r.Key, r.Importance) {
		g.rate.add(now, q.cfg.RateWindow)
		return Decision{Verdict: Start}, out
	}
	if q.drained {
		return Decision{Reason: status.CodeDraining}, out
	}
	if r.Objective <= 0 || now > latest || q.isHopeless(now, &r, g, latest) {
		return q.refusal(now, g, latest), out
	}
	var ok bool
	if out, ok = q.makeRoom(now, &r, g, out); !ok {
		return q.refusal(now, g, latest), out
	}
	q.insert(&r, g)
	q.arm(now, g)
	return Decision{Verdict: Wait}, out
}

// date sets the time since the request's first send, and whether it is late for that.
func (q *Queue) date(now time.Duration, r *Request, s *keyState) {
	r.elapsed = s.stated.elapsed(now, r.Stated, q.cfg.SampleWindow)
	r.late = r.elapsed > 0 && now > q.latest(now, r, s)
}

// latest returns until when an arriving request can start and finish in time.
func (q *Queue) latest(now time.Duration, r *Request, s *keyState) time.Duration {
	due := r.due()
	return due - q.chainTime(now, s, due-r.Arrived)
}

// isNext reports whether no waiting request is to be started before an arrival of the
// group. Those of higher importances have a share of their own.
func (s *keyState) isNext(g *group) bool {
	return g.best.len() == 0 && (!g.late || g.sibling == nil || g.sibling.best.len() == 0)
}

// isHopeless reports whether an arrival of a late group can't start in time: it would be
// the last of the group, and the backlog ahead, at the present rate of starts, takes
// hopelessFactor times what it can wait.
func (q *Queue) isHopeless(now time.Duration, r *Request, g *group, latest time.Duration) bool {
	if !g.late || g.best.len() > 0 && r.due() < g.last.top().due {
		return false
	}
	ahead, rate := q.backlog(now, g.state, g.importance, g.late)
	return rate > 0 && ahead > hopelessFactor*rate*(latest-now).Seconds()
}

// hopelessFactor allows for a rate of starts that rises while a request waits.
const hopelessFactor = 3

// decideUnknown decides on a request whose key has no queue because there are too many.
func (q *Queue) decideUnknown(now time.Duration, r *Request) Decision {
	if q.pacer.Start(now, r.Key, r.Importance) {
		return Decision{Verdict: Start}
	}
	return Decision{Reason: status.CodeOverloaded, RetryAfter: q.spread(q.cfg.IdleRetryAfter)}
}

// Cancel withdraws a waiting request. It has no effect on one that is already decided.
func (q *Queue) Cancel(now time.Duration, t Ticket, out []Action) []Action {
	if e, ok := q.tickets[t]; ok {
		g := e.group
		q.remove(e)
		q.arm(now, g)
		out = append(out, Action{t, Decision{Reason: status.CodeCanceled}})
	}
	return q.Tick(now, out)
}

// Tick refuses the requests that can no longer finish in time and starts those that may.
func (q *Queue) Tick(now time.Duration, out []Action) []Action {
	for q.wakes.len() > 0 && q.wakes.top().wake <= now {
		g := q.wakes.top()
		q.enqueue(now, g)
		if o := g.sibling; o != nil && o.best.len() > 0 {
			q.enqueue(now, o) // so that the order between the two holds
		}
	}
	for q.due.len() > 0 {
		g := q.due.top()
		a, decided := q.decideNext(now, g)
		if decided {
			out = append(out, a)
		}
		if !decided || g.best.len() == 0 {
			q.due.remove(g)
			q.arm(now, g)
			continue
		}
		q.setRank(now, g)
		q.due.fix(g.dueIndex)
	}
	return out
}

// enqueue takes a group that Tick has to look at.
func (q *Queue) enqueue(now time.Duration, g *group) {
	q.disarm(g)
	q.setRank(now, g)
	q.due.insert(g)
}

// setRank sets the group's place among those that Tick looks at.
func (q *Queue) setRank(now time.Duration, g *group) {
	g.headStart = q.latestStart(now, g.best.top())
	g.rank = rankTimely
	if g.late {
		g.rank = rankLate
		if q.mayPrecede(now, g) {
			g.rank = rankSafe
		}
	}
}

// Order of the groups of one importance.
const (
	rankSafe   int8 = iota // late requests for which those that can meet their objective have time
	rankTimely             // requests that can meet their objective
	rankLate               // other late requests
)

// mayPrecede reports whether the waiting requests of a late group's importance that can
// meet their objective have the time for a late one to start first.
func (q *Queue) mayPrecede(now time.Duration, late *group) bool {
	t := late.sibling
	if t == nil || t.best.len() == 0 {
		return true
	}
	rate := t.rate.perSecond(now, q.cfg.RateWindow) + late.rate.perSecond(now, q.cfg.RateWindow)
	slack := q.latestStart(now, t.best.top()) - now
	return lateMargin*float64(t.best.len()+1) < rate*slack.Seconds()
}

// lateMargin is the part of the backlog that has to start, at the present rate, before the
// most urgent request of it is due. At 1 few late requests start before they are refused:
// the measured rate rises only after the capacity that returns.
const lateMargin = 0.1

// precedes orders groups by importance, then those that can meet their objective before
// late ones, then by the least slack of their requests.
func precedes(a, b *group) bool {
	if a.importance != b.importance {
		return a.importance > b.importance
	}
	return a.rank < b.rank || a.rank == b.rank && a.headStart < b.headStart
}

// above reports whether the group's requests start before those of the importance.
func (g *group) above(imp request.Importance, late bool) bool {
	return g.importance > imp || g.importance == imp && !g.late && late
}

// decideNext decides on the group's most urgent request; false if it waits on.
func (q *Queue) decideNext(now time.Duration, g *group) (Action, bool) {
	e := g.best.top()
	t, latest := e.ticket, g.headStart
	if now > latest {
		q.remove(e)
		return Action{t, q.refusal(now, g, latest)}, true
	}
	if g.late && !q.mayPrecede(now, g) || !q.pacer.Start(now, g.state.key, g.importance) {
		return Action{}, false
	}
	q.remove(e)
	g.rate.add(now, q.cfg.RateWindow)
	return Action{t, Decision{Verdict: Start, StartBy: latest}}, true
}

// never is the value of Next when nothing waits.
const never = time.Duration(1<<63 - 1)

// Next returns when Tick is due.
func (q *Queue) Next() time.Duration {
	if q.wakes.len() == 0 {
		return never
	}
	return q.wakes.top().wake
}

// Finished records the chain time of a completed request, from its start to its answer.
func (q *Queue) Finished(now time.Duration, k earlyrefusal.Key, took time.Duration) {
	if s := q.state(k); s != nil {
		s.times.add(now, took, q.cfg.SampleWindow)
	}
}

// Failed records that a request which had started ended without an answer that completes
// it, so that its caller may return.
func (q *Queue) Failed(now time.Duration, k earlyrefusal.Key) {
	if s := q.keys[k]; s != nil {
		s.stated.refused(now, q.cfg.SampleWindow)
	}
}

// Drain refuses all waiting requests; from now on none waits.
func (q *Queue) Drain(now time.Duration, out []Action) []Action {
	q.drained = true
	return q.release(func(earlyrefusal.Key) bool { return true }, Decision{Reason: status.CodeDraining}, out)
}

// Retain forgets the keys that keep rejects, because their class has no objective any
// more. Their waiting requests are decided with Bypass.
func (q *Queue) Retain(now time.Duration, keep func(earlyrefusal.Key) bool, out []Action) []Action {
	drop := func(k earlyrefusal.Key) bool { return !keep(k) }
	out = q.release(drop, Decision{Verdict: Bypass}, out)
	for k := range q.keys {
		if drop(k) {
			delete(q.keys, k)
		}
	}
	return q.Tick(now, out)
}

// release decides all waiting requests of the selected keys.
func (q *Queue) release(selected func(earlyrefusal.Key) bool, d Decision, out []Action) []Action {
	for _, s := range q.keys {
		if !selected(s.key) {
			continue
		}
		for _, g := range s.groups {
			for g.best.len() > 0 {
				e := g.best.top()
				out = append(out, Action{e.ticket, d})
				q.remove(e)
			}
			q.disarm(g)
		}
	}
	return out
}

// Stats returns a snapshot.
func (q *Queue) Stats() Stats { return Stats{Waiting: len(q.tickets), Bytes: q.bytes} }

// state returns the state of a key and creates it at first use; nil if there are too
// many.
func (q *Queue) state(k earlyrefusal.Key) *keyState {
	s := q.keys[k]
	if s == nil && len(q.keys) < q.cfg.MaxKeys {
		s = &keyState{key: k}
		q.keys[k] = s
	}
	return s
}

// group returns the group of an importance and creates it at first use.
func (s *keyState) group(imp request.Importance, late bool) *group {
	at := 0
	for at < len(s.groups) && s.groups[at].above(imp, late) {
		at++
	}
	if at < len(s.groups) && s.groups[at].importance == imp && s.groups[at].late == late {
		return s.groups[at]
	}
	g := newGroup(s, imp, late)
	for _, o := range s.groups {
		if o.importance == imp {
			g.sibling, o.sibling = o, g
		}
	}
	s.groups = slices.Insert(s.groups, at, g)
	return g
}

func newGroup(s *keyState, imp request.Importance, late bool) *group {
	return &group{
		state: s, importance: imp, late: late, wakeIndex: -1,
		best: heapOf[*entry]{before: dueBefore, pos: func(e *entry) *int { return &e.bestIndex }},
		last: heapOf[*entry]{
			before: func(a, b *entry) bool { return dueBefore(b, a) },
			pos:    func(e *entry) *int { return &e.lastIndex },
		},
	}
}

// dueBefore orders the requests of a group by slack: their chain needs the same time.
func dueBefore(a, b *entry) bool { return a.due < b.due || a.due == b.due && a.seq < b.seq }

func (q *Queue) insert(r *Request, g *group) {
	var e *entry
	if n := len(q.free); n > 0 {
		e, q.free = q.free[n-1], q.free[:n-1]
	} else {
		e = new(entry)
	}
	q.seq++
	*e = entry{ticket: r.Ticket, group: g, due: r.due(), span: r.due() - r.Arrived, bytes: r.Bytes, seq: q.seq}
	g.best.insert(e)
	g.last.insert(e)
	q.tickets[r.Ticket] = e
	q.bytes += int64(r.Bytes)
	q.bytesAt[g.importance] += int64(r.Bytes)
}

func (q *Queue) remove(e *entry) {
	e.group.best.remove(e)
	e.group.last.remove(e)
	delete(q.tickets, e.ticket)
	q.bytes -= int64(e.bytes)
	q.bytesAt[e.group.importance] -= int64(e.bytes)
	e.group = nil
	q.free = append(q.free, e)
}

// arm sets when the group is looked at again.
func (q *Queue) arm(now time.Duration, g *group) {
	if g.best.len() == 0 {
		q.disarm(g)
		return
	}
	next := max(q.pacer.Next(now, g.state.key, g.importance), now+minPoll)
	g.wake = min(next, now+q.cfg.PollInterval, q.latestStart(now, g.best.top())+1)
	if g.wakeIndex < 0 {
		q.wakes.insert(g)
		return
	}
	q.wakes.fix(g.wakeIndex)
}

// minPoll is the shortest time between two questions to the pacer about one group.
const minPoll = time.Millisecond

func (q *Queue) disarm(g *group) {
	if g.wakeIndex >= 0 {
		q.wakes.remove(g)
		g.wakeIndex = -1
	}
}

// latestStart returns until when a request can start and finish in time.
func (q *Queue) latestStart(now time.Duration, e *entry) time.Duration {
	return e.due - q.chainTime(now, e.group.state, e.span)
}

// chainTime returns the time that a chain of the key needs, span being the time from
// arrival until the answer is wanted.
func (q *Queue) chainTime(now time.Duration, s *keyState, span time.Duration) time.Duration {
	if need, ok := s.times.at(now, &q.cfg); ok {
		return need
	}
	return span / 2
}
