package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"peardrift/bench/standin/client"
)

// Kind is a kind of event.
type Kind string

// The kinds of events.
const (
	Terminate Kind = "SIGTERM, restart"  // of a node
	Crash     Kind = "SIGKILL, restart"  // of a node
	Suspend   Kind = "SIGSTOP, SIGCONT"  // of a node
	Reset     Kind = "connections reset" // all open ones to a node
	Cut       Kind = "node cut off"      // no calls of other nodes reach a node
	Outage    Kind = "platform down"
	Remove    Kind = "objectives removed" // by a configuration; returned at the event's end
	Reject    Kind = "half rejected"      // by the targets of a service, as not run
	Slow      Kind = "targets slow"       // of a service
	Leave     Kind = "callers leave early"
	Move      Kind = "callers change zone"
	Surge     Kind = "demand above capacity"
)

// kinds lists all kinds.
var kinds = []Kind{Terminate, Crash, Suspend, Reset, Cut, Outage, Remove, Reject, Slow, Leave, Move, Surge}

// Event is one fault of a plan.
type Event struct {
	Kind Kind
	Host string        // host or service; empty: neither
	At   time.Duration // from the start of the load
	For  time.Duration // from At to the repair
}

// Plan is what one seed plays.
type Plan struct {
	Seed   uint64
	Load   time.Duration // duration of the load, in which all events are due to end
	Events []Event
}

const (
	extraEvents = 5               // besides one of each kind
	minEvent    = time.Second / 4 // shortest event
	maxEvent    = 2 * time.Second // longest event
)

// NewPlan draws a plan over hosts and services: one event of each kind and some more, with
// at most one restart, suspension or cut of each host.
func NewPlan(seed uint64, load time.Duration, hosts, services []string) Plan {
	rng := rand.New(rand.NewPCG(seed, 0))
	p := Plan{Seed: seed, Load: load}
	free := rng.Perm(len(hosts))
	drawn := append([]Kind(nil), kinds...)
	for range extraEvents {
		drawn = append(drawn, kinds[rng.IntN(len(kinds))])
	}
	for _, k := range drawn {
		e := Event{Kind: k, For: minEvent + time.Duration(rng.Int64N(int64(maxEvent-minEvent)))}
		e.At = time.Duration(rng.Int64N(int64(load - e.For)))
		switch k {
		case Terminate, Crash, Suspend, Cut:
			if len(free) == 0 {
				continue
			}
			e.Host, free = hosts[free[0]], free[1:]
		case Reset:
			e.Host = hosts[rng.IntN(len(hosts))]
		case Reject, Slow:
			e.Host = services[rng.IntN(len(services))]
		}
		p.Events = append(p.Events, e)
	}
	return p
}

// String returns the plan as one line an event.
func (p Plan) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d, %v of load\n", p.Seed, p.Load)
	for _, e := range p.Events {
		fmt.Fprintf(&b, "  %6v to %6v  %s %s\n", e.At.Round(time.Millisecond), (e.At + e.For).Round(time.Millisecond), e.Kind, e.Host)
	}
	return b.String()
}

// active reports whether an event of a kind is under way.
func (p Plan) active(k Kind, at time.Duration) bool {
	for _, e := range p.Events {
		if e.Kind == k && at >= e.At && at < e.At+e.For {
			return true
		}
	}
	return false
}

// phaseLength is the resolution of the arrival rates.
const phaseLength = 50 * time.Millisecond

// phases returns the arrivals of a class of the given rate at the callers of one zone. Rates
// of leaving callers are zero unless an event says otherwise.
func (p Plan) phases(rate float64, zone int, leaving bool) (ph []client.Phase) {
	for at := time.Duration(0); at < p.Load; at += phaseLength {
		r := rate
		if p.active(Move, at) { // all callers are in the second zone
			r *= 2 * float64(zone)
		}
		if p.active(Surge, at) {
			r *= surge
		}
		if leaving && !p.active(Leave, at) {
			r = 0
		}
		ph = append(ph, client.Phase{Duration: phaseLength, Rate: r})
	}
	return ph
}
