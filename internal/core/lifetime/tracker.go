package lifetime

import (
	"time"

	"peardrift/internal/port"
)

// State is what is known of the target.
type State struct {
	Instance string // empty: none is known
	Born     int64  // when it started, in Unix milliseconds; 0: it doesn't say
	Slots    int
	Takes    bool // calls may be sent to it
	Cold     time.Duration
}

// Tracker follows the lifetimes at one address.
type Tracker struct {
	lifetimes map[string]*lifetime
	order     []string // by first report
	current   string
}

type lifetime struct {
	born    int64
	seq     int64
	slots   int
	leaving bool
	cold    time.Duration
}

// maxLifetimes bounds the names that are remembered. More starts than this while an
// old report is under way don't happen to a target that works.
const maxLifetimes = 64

// New returns a tracker that knows of no lifetime.
func New() *Tracker { return &Tracker{lifetimes: make(map[string]*lifetime)} }

// State returns what is known now.
func (t *Tracker) State() State {
	l := t.lifetimes[t.current]
	if l == nil {
		return State{Instance: t.current}
	}
	return State{Instance: t.current, Born: l.born, Slots: l.slots, Takes: !l.leaving, Cold: l.cold}
}

// Report takes in what a target says.
func (t *Tracker) Report(r port.Report) State {
	l, known := t.lifetimes[r.Instance]
	switch {
	case !known:
		l = t.begin(r.Instance)
	case l.born == 0 || r.Born == 0 || r.Born == l.born:
	case r.Born < l.born:
		return t.State() // of an earlier start, held up on the way
	default:
		*l = lifetime{}
		t.current, known = r.Instance, false
	}
	if r.Born != 0 {
		l.born = r.Born
	}
	if r.Leaving || r.Last {
		l.leaving = true
	}
	if !known || r.Seq > l.seq {
		l.seq = r.Seq
		l.cold = r.Cold
		if r.Slots > 0 {
			l.slots = r.Slots
		}
	}
	return t.State()
}

// begin adds a lifetime that has not reported before. It is taken for the one that
// serves; should it be an old one whose report was held up, the target's first answer
// says so, see Answered.
func (t *Tracker) begin(instance string) *lifetime {
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

// Answered takes in that a lifetime other than the current one answers at the
// address. One that has reported is the current one from now on; of another one
// nothing is known until it does.
func (t *Tracker) Answered(instance string) State {
	if instance != "" {
		t.current = instance
	}
	return t.State()
}
