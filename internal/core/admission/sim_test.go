package admission

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"peardrift/internal/core/request"
	"peardrift/internal/status"
)

// sim drives a gate under virtual time: Poisson arrivals, a target with real
// slots that queues inside itself, in order of arrival, what is above them,
// and callers that may know the level.
type sim struct {
	gate *Gate
	rng  *rand.Rand
	load func(now time.Duration) load
	// callersKnow: requests below the level of lag ago don't reach the gate.
	callersKnow bool
	retries     int // of a refused request, each with a new identity

	events  events
	now     time.Duration
	id      Ticket
	calls   map[Ticket]*call
	levels  []request.Level // one each lag
	inside  []Ticket        // in the target, waiting for a real slot
	working int
	out     []Action
	slices  []slice
}

// load is what the clients and the target do at one moment.
type load struct {
	rate     float64 // new requests per second
	service  time.Duration
	slots    int // real
	deadline time.Duration
	class    func(*rand.Rand) (request.Importance, uint16) // importance, tenant
}

// slice counts what happened in one sliceLength.
type slice struct {
	done, good  int           // left the target; in time
	reached     int           // the gate
	refused     int           // by the gate
	held        time.Duration // that refused ones waited
	ran, turned [importances]int
	tenants     [2]int
	level       request.Level
}

const (
	sliceLength = 100 * time.Millisecond
	lag         = 10 * time.Millisecond
	retryDelay  = 50 * time.Millisecond
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

func (s *sim) slice() *slice {
	for len(s.slices) <= int(s.now/sliceLength) {
		s.slices = append(s.slices, slice{})
	}
	return &s.slices[s.now/sliceLength]
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
	s.offer(imp, tenant, s.retries)
	s.in(time.Duration(s.rng.ExpFloat64()/l.rate*float64(time.Second)), s.arrivals)
}

func (s *sim) ticks() {
	s.out = s.gate.Tick(s.now, s.out[:0])
	s.settle(s.out)
	s.levels = append(s.levels, s.gate.Level())
	sl := s.slice()
	sl.level = max(sl.level, s.gate.Level())
	s.in(lag, s.ticks)
}

func (s *sim) offer(imp request.Importance, tenant uint16, retries int) {
	s.id++
	c := &call{at: s.now, tries: retries, Arrival: Arrival{
		Ticket: s.id, Priority: prio(imp, uint16(s.rng.Uint32())), Tenant: tenant, Deadline: s.now + s.load(s.now).deadline,
	}}
	s.calls[c.Ticket] = c
	if n := len(s.levels); s.callersKnow && n > 1 && c.Priority < s.levels[n-2] {
		s.refused(c)
		return
	}
	s.slice().reached++
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
				s.slice().refused++
				s.slice().held += s.now - c.at
				s.refused(c)
			}
		}
	}
}

func (s *sim) refused(c *call) {
	s.slice().turned[c.Priority.Importance()]++
	delete(s.calls, c.Ticket)
	if c.tries > 0 {
		s.in(retryDelay, func() { s.offer(c.Priority.Importance(), c.Tenant, c.tries-1) })
	}
}

func (s *sim) enter(t Ticket) {
	s.inside = append(s.inside, t)
	s.work()
}

func (s *sim) work() {
	l := s.load(s.now)
	for s.working < l.slots && len(s.inside) > 0 {
		t := s.inside[0]
		s.inside = s.inside[1:]
		s.working++
		took := time.Duration(s.rng.ExpFloat64() * float64(l.service))
		s.in(took, func() { s.done(t) })
		s.in(s.calls[t].Deadline-s.now, func() { s.cancel(t) })
	}
}

// cancel ends a request at its deadline, as a node does.
func (s *sim) cancel(t Ticket) {
	if _, ok := s.calls[t]; !ok {
		return
	}
	delete(s.calls, t)
	s.working--
	s.slice().done++
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
	sl := s.slice()
	sl.done++
	sl.good++
	sl.ran[c.Priority.Importance()]++
	sl.tenants[c.Tenant]++
	s.out = s.gate.Finish(s.now, t, OK, 0, s.out[:0])
	s.settle(s.out)
	s.work()
}
