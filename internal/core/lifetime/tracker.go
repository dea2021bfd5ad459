package lifetime

import (
	"time"

	"peardrift/internal/port"
)

// State is the known state of the target.
type State struct {
	Instance     string // empty if unknown
	StartedAt    int64  // start time in Unix milliseconds; 0 if not reported
	Slots        int
	AcceptsCalls bool // whether calls may be sent to it
	Cold         time.Duration
}

// Tracker tracks the lifetimes at one address.
type Tracker struct {
	lifetimes map[string]*lifetime
	order     []string // in the order of first reports
	current   string
}

type lifetime struct {
	born    int64
	seq     int64
	slots   int
	leaving bool
	cold    time.Duration
}

// maxLifetimes bounds the remembered names. A working target doesn't start more often
// than this while an old report is in flight.
const maxLifetimes = 64

// New returns a tracker without lifetimes.
func New() *Tracker { return &Tracker{lifetimes: make(map[string]*lifetime)} }

// State returns the current state.
func (t *Tracker) State() State {
	l := t.lifetimes[t.current]
	if l == nil {
		return State{Instance: t.current}
	}
	return State{Instance: t.current, StartedAt: l.born, Slots: l.slots, AcceptsCalls: !l.leaving, Cold: l.cold}
}

// Report applies a report of a target.
func (t *Tracker) Report(r port.Report) State {
	l, known := t.lifetimes[r.Instance]
	switch {
	case !known:
		l = t.add(r.Instance)
	case l.born == 0 || r.StartedAt == 0 || r.StartedAt == l.born:
	case r.StartedAt < l.born:
		return t.State() // a delayed report of an earlier start
	default:
		*l = lifetime{}
		t.current, known = r.Instance, false
	}
	if r.StartedAt != 0 {
		l.born = r.StartedAt
	}
	if r.Leaving || r.Final {
		l.leaving = true
	}
	if !known || r.Seq > l.seq {
		l.seq = r.Seq
		l.cold = r.WarmupRemaining
		if r.Slots > 0 {
			l.slots = r.Slots
		}
	}
	return t.State()
}

// add adds a lifetime that has not reported before and makes it the current one. If it
// is an old one whose report was delayed, the target's next answer corrects that, see
// Answered.
func (t *Tracker) add(instance string) *lifetime {
	if len(t.order) == maxLifetimes {
		delete(t.lifetimes, t.order[0])
		t.order = t.order[1:]
	}
	l := &lifetime{}
	t.lifetimes[instance] = l
	t.order = append(t.order, instance)
	t.current = instance
	return l
}

// Answered records that a lifetime other than the current one answers at the address
// and makes it the current one. Nothing is known of a lifetime that hasn't reported
// yet.
func (t *Tracker) Answered(instance string) State {
	if instance != "" {
		t.current = instance
	}
	return t.State()
}

// Left records that the answers of a lifetime say that it leaves.
func (t *Tracker) Left(instance string) State {
	if l := t.lifetimes[instance]; l != nil {
		l.leaving = true
	}
	return t.State()
}
