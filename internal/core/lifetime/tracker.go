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
	lifetimes map[Key]*lifetime
	order     []Key // in the order in which they became known
	current   string
	suspended bool
	distrusts bool // leaves may be unknown, so a lifetime must report twice
}

type lifetime struct {
	born    int64 // start time; 0 if unknown
	bound   int64 // starts up to this time have left; 0: no bound
	seq     int64
	slots   int
	leaving bool
	cold    time.Duration
	// confirmed: its reports are not from before a leave that is unknown here. Without it,
	// the lifetime gets no calls.
	confirmed bool
}

// maxLifetimes bounds the remembered names. A working target doesn't start more often
// than this while an old report is in flight.
const maxLifetimes = 64

// New returns a tracker without lifetimes.
func New() *Tracker { return &Tracker{lifetimes: make(map[Key]*lifetime)} }

// Suspend makes the target accept no calls until Resume.
func (t *Tracker) Suspend() { t.suspended = true }

// Suspended reports whether the tracker is suspended.
func (t *Tracker) Suspended() bool { return t.suspended }

// Resume ends Suspend. The leaves that an earlier process may have acknowledged must be
// restored before; complete tells whether all of them are known. If not, a lifetime gets
// calls only once a newer report has followed one: a single one may be from before a leave.
func (t *Tracker) Resume(complete bool) State {
	t.suspended, t.distrusts = false, !complete
	for _, l := range t.lifetimes {
		l.confirmed = l.confirmed || complete
	}
	return t.State()
}

// Trust ends the distrust of single reports that arrive from now on.
func (t *Tracker) Trust() { t.distrusts = false }

// Awaits reports whether an instance gets calls once it reports again.
func (t *Tracker) Awaits(instance string) bool {
	l := t.lifetimes[KeyOf(instance)]
	return !t.suspended && l != nil && !l.leaving && !l.confirmed
}

// State returns the current state.
func (t *Tracker) State() State {
	l := t.lifetimes[KeyOf(t.current)]
	if l == nil {
		return State{Instance: t.current}
	}
	return State{Instance: t.current, StartedAt: l.born, Slots: l.slots, AcceptsCalls: !l.leaving && !t.suspended && l.confirmed, Cold: l.cold}
}

// Report applies a report of a target.
func (t *Tracker) Report(r port.Report) State {
	l, known := t.lifetimes[KeyOf(r.Instance)]
	switch {
	case !known:
		l = t.add(KeyOf(r.Instance))
		l.confirmed = t.believesFirst()
		if !t.State().AcceptsCalls || !t.distrusts {
			t.current = r.Instance // if its report was delayed, the next answer corrects that, see Answered
		}
	case r.StartedAt == 0 || r.StartedAt == l.born:
	case r.StartedAt < l.born:
		return t.State() // a delayed report of an earlier start
	case r.StartedAt > l.bound && (l.born != 0 || l.bound != 0):
		*l = lifetime{confirmed: t.believesFirst()}
		t.current, known = r.Instance, false
	}
	if t.current == "" {
		t.current = r.Instance // a restored lifetime
	}
	if r.StartedAt != 0 {
		l.born = r.StartedAt
	}
	if r.Leaving || r.Final {
		l.leaving = true
	}
	if known && r.Seq > l.seq && !l.confirmed {
		l.confirmed = true
		if !l.leaving {
			t.current = r.Instance
		}
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

// believesFirst reports whether the first report of a lifetime is enough.
func (t *Tracker) believesFirst() bool { return !t.suspended && !t.distrusts }

// add adds a lifetime.
func (t *Tracker) add(k Key) *lifetime {
	if len(t.order) == maxLifetimes {
		delete(t.lifetimes, t.order[0])
		t.order = t.order[1:]
	}
	l := &lifetime{}
	t.lifetimes[k] = l
	t.order = append(t.order, k)
	return l
}

// StartedAt returns the latest known start of an instance, or 0.
func (t *Tracker) StartedAt(instance string) int64 {
	if l := t.lifetimes[KeyOf(instance)]; l != nil {
		return l.born
	}
	return 0
}

// Restore applies leaves that are recorded outside the process. It makes none of their
// lifetimes the current one: only a report or an answer shows which one serves.
func (t *Tracker) Restore(leaves []Leave) State {
	for _, x := range leaves {
		l := t.lifetimes[x.Instance]
		if l == nil {
			l = t.add(x.Instance)
		}
		if l.born > x.latestStart() {
			continue // a later start has reported
		}
		l.born, l.bound, l.leaving = max(l.born, x.StartedAt), max(l.bound, x.latestStart()), true
	}
	return t.State()
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
	if l := t.lifetimes[KeyOf(instance)]; l != nil {
		l.leaving = true
	}
	return t.State()
}
