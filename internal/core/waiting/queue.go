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

// group holds the waiting requests of one key and importance.
type group struct {
	state      *keyState
	importance request.Importance
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
	groups []*group // by importance, highest first
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
	g := q.group(r.Key, r.Importance)
	if g == nil {
		return q.decideUnknown(now, &r), out
	}
	if g.best.len() == 0 && q.pacer.Start(now, r.Key, r.Importance) {
		g.rate.add(now, q.cfg.RateWindow)
		return Decision{Verdict: Start}, out
	}
	if q.drained {
		return Decision{Reason: status.CodeDraining}, out
	}
	due := r.due()
	if r.Objective <= 0 || now > due-q.chainTime(now, g.state, due-r.Arrived) {
		return q.refusal(now, g), out
	}
	var ok bool
	if out, ok = q.makeRoom(now, &r, g, out); !ok {
		return q.refusal(now, g), out
	}
	q.insert(&r, g)
	q.arm(now, g)
	return Decision{Verdict: Wait}, out
}

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
		q.disarm(g)
		g.headStart = q.latestStart(now, g.best.top())
		q.due.insert(g)
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
		g.headStart = q.latestStart(now, g.best.top())
		q.due.fix(g.dueIndex)
	}
	return out
}

// precedes orders groups by importance, then by the least slack of their requests.
func precedes(a, b *group) bool {
	return a.importance > b.importance || a.importance == b.importance && a.headStart < b.headStart
}

// decideNext decides on the group's most urgent request; false if it waits on.
func (q *Queue) decideNext(now time.Duration, g *group) (Action, bool) {
	e := g.best.top()
	t, latest := e.ticket, g.headStart
	if now > latest {
		q.remove(e)
		return Action{t, q.refusal(now, g)}, true
	}
	if !q.pacer.Start(now, g.state.key, g.importance) {
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

// group returns the group of a key and importance; nil if there are too many keys.
func (q *Queue) group(k earlyrefusal.Key, imp request.Importance) *group {
	s := q.state(k)
	if s == nil {
		return nil
	}
	at := 0
	for at < len(s.groups) && s.groups[at].importance > imp {
		at++
	}
	if at < len(s.groups) && s.groups[at].importance == imp {
		return s.groups[at]
	}
	g := newGroup(s, imp)
	s.groups = slices.Insert(s.groups, at, g)
	return g
}

func newGroup(s *keyState, imp request.Importance) *group {
	return &group{
		state: s, importance: imp, wakeIndex: -1,
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
