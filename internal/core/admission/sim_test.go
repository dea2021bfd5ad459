package admission

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"peardrift/internal/core/request"
	"peardrift/internal/status"
)

// sim drives a gate under virtual time. It models Poisson arrivals, a target that
// queues requests beyond its real slots in arrival order, and callers that may know
// the level.
type sim struct {
	gate *Gate
	rng  *rand.Rand
	load func(now time.Duration) load
	// callersKnowLevel drops requests below the level of lag ago before they reach
	// the gate.
	callersKnowLevel bool
	retries          int // per refused request, each with a new identity
	// callDelay is how long the calls of a request that its caller has let in take to reach
	// the gate, at most; at least half of it.
	callDelay time.Duration

	events    events
	now       time.Duration
	id        Ticket
	calls     map[Ticket]*call
	levels    []request.Level // sampled every lag
	inTarget  []Ticket        // queued in the target for a real slot
	working   int
	out       []Action
	intervals []interval
}

// load describes the clients and the target at one instant.
type load struct {
	rate     float64 // new requests per second
	service  time.Duration
	slots    int // actual, not declared
	deadline time.Duration
	class    func(*rand.Rand) (request.Importance, uint16) // importance, tenant
}

// interval counts the events of one intervalLength.
type interval struct {
	done, inTime           int           // left the target; within the deadline
	reached                int           // arrived at the gate
	refused                int           // refused by the gate
	waited                 time.Duration // total wait of requests that were refused
	completedBy, refusedBy [importances]int
	tenants                [2]int
	level                  request.Level
}

const (
	intervalLength = 100 * time.Millisecond
	lag            = 10 * time.Millisecond
	retryDelay     = 50 * time.Millisecond
)

type call struct {
	Arrival
	at    time.Duration
	tries int
}

type event struct {
	at time.Duration
	do func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := len(*e) - 1
	v := (*e)[last]
	*e = (*e)[:last]
	return v
}

func (s *sim) in(d time.Duration, do func()) { heap.Push(&s.events, event{s.now + d, do}) }

func (s *sim) interval() *interval {
	for len(s.intervals) <= int(s.now/intervalLength) {
		s.intervals = append(s.intervals, interval{})
	}
	return &s.intervals[s.now/intervalLength]
}

func (s *sim) run(until time.Duration) {
	s.calls = map[Ticket]*call{}
	s.arrivals()
	s.ticks()
	for len(s.events) > 0 && s.events[0].at < until {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
	}
}

func (s *sim) arrivals() {
	l := s.load(s.now)
	imp, tenant := l.class(s.rng)
	s.submit(imp, tenant, s.retries)
	s.in(time.Duration(s.rng.ExpFloat64()/l.rate*float64(time.Second)), s.arrivals)
}

func (s *sim) ticks() {
	s.out = s.gate.Tick(s.now, s.out[:0])
	s.settle(s.out)
	s.levels = append(s.levels, s.gate.Level())
	sl := s.interval()
	sl.level = max(sl.level, s.gate.Level())
	s.in(lag, s.ticks)
}

func (s *sim) submit(imp request.Importance, tenant uint16, retries int) {
	s.id++
	c := &call{at: s.now, tries: retries, Arrival: Arrival{
		Ticket: s.id, Priority: prio(imp, uint16(s.rng.Uint32())), Tenant: tenant, Deadline: s.now + s.load(s.now).deadline,
	}}
	s.calls[c.Ticket] = c
	if n := len(s.levels); s.callersKnowLevel && n > 1 && c.Priority < s.levels[n-2] {
		s.refused(c)
		return
	}
	if s.callDelay == 0 {
		s.arrive(c)
		return
	}
	c.Nested = true
	c.Deadline += s.callDelay
	c.Age = s.callDelay/2 + time.Duration(s.rng.Int64N(int64(s.callDelay/2)))
	s.in(c.Age, func() { s.arrive(c) })
}

func (s *sim) arrive(c *call) {
	s.interval().reached++
	d, out := s.gate.Arrive(s.now, c.Arrival, s.out[:0])
	s.out = out
	s.settle(append(out, Action{c.Ticket, d}))
}

func (s *sim) settle(out []Action) {
	for _, a := range append([]Action(nil), out...) {
		switch a.Verdict {
		case Admit:
			s.enter(a.Ticket)
		case Refuse:
			if a.Reason != status.CodeCanceled {
				c := s.calls[a.Ticket]
				s.interval().refused++
				s.interval().waited += s.now - c.at
				s.refused(c)
			}
		}
	}
}

func (s *sim) refused(c *call) {
	s.interval().refusedBy[c.Priority.Importance()]++
	delete(s.calls, c.Ticket)
	if c.tries > 0 {
		s.in(retryDelay, func() { s.submit(c.Priority.Importance(), c.Tenant, c.tries-1) })
	}
}

func (s *sim) enter(t Ticket) {
	s.inTarget = append(s.inTarget, t)
	s.work()
}

func (s *sim) work() {
	l := s.load(s.now)
	for s.working < l.slots && len(s.inTarget) > 0 {
		t := s.inTarget[0]
		s.inTarget = s.inTarget[1:]
		s.working++
		took := time.Duration(s.rng.ExpFloat64() * float64(l.service))
		s.in(took, func() { s.done(t) })
		s.in(s.calls[t].Deadline-s.now, func() { s.cancel(t) })
	}
}

// cancel abandons a request at its deadline, as a node does.
func (s *sim) cancel(t Ticket) {
	if _, ok := s.calls[t]; !ok {
		return
	}
	delete(s.calls, t)
	s.working--
	s.interval().done++
	s.out = s.gate.Cancel(s.now, t, s.out[:0])
	s.settle(s.out)
	s.work()
}

func (s *sim) done(t Ticket) {
	c, ok := s.calls[t]
	if !ok {
		return // canceled
	}
	delete(s.calls, t)
	s.working--
	sl := s.interval()
	sl.done++
	sl.inTime++
	sl.completedBy[c.Priority.Importance()]++
	sl.tenants[c.Tenant]++
	s.out = s.gate.Finish(s.now, t, OK, 0, s.out[:0])
	s.settle(s.out)
	s.work()
}
