package suspect

import (
	"slices"
	"time"
)

// Verdict is what to do with a request.
type Verdict uint8

const (
	// Run it as any other.
	Run Verdict = iota
	// Isolate: run it, but it is suspected; no other suspect is in flight here.
	Isolate
	// Busy: another suspect is in flight here. Refuse it as not run for now, with
	// status.CodeIsolationBusy and Config.RetryAfter. Sent on to another target,
	// each of many copies that come at once would be run somewhere.
	Busy
	// Refuse it with status.CodeSuspect.
	Refuse
)

// String returns the verdict as it stands in metrics and logs.
func (v Verdict) String() string {
	switch v {
	case Isolate:
		return "isolate"
	case Busy:
		return "busy"
	case Refuse:
		return "refuse"
	default:
		return "run"
	}
}

// entry is what is known of one fingerprint.
type entry struct {
	crashes [MaxCrashLimit]CrashID
	n       int     // of crashes
	weight  float64 // sum of 1/n in flight
	refused bool
	last    time.Duration // of the last crash; of a refused one when last seen
}

func (e *entry) add(id CrashID, weight float64) {
	if e.n == len(e.crashes) || slices.Contains(e.crashes[:e.n], id) {
		return
	}
	e.crashes[e.n] = id
	e.n++
	e.weight += weight
}

func (e *entry) drop(id CrashID, weight float64) {
	i := slices.Index(e.crashes[:e.n], id)
	if i < 0 {
		return
	}
	copy(e.crashes[i:e.n], e.crashes[i+1:e.n])
	e.n--
	e.weight -= weight
}

// Tracker is one node's knowledge of the suspects of its service.
type Tracker struct {
	cfg      *Config
	entries  map[Fingerprint]*entry
	crashes  map[CrashID]*crash
	inFlight map[Fingerprint]int
	cleared  map[Fingerprint]time.Duration // when
	epoch    uint64                        // rises with each crash of the own target
	down     bool                          // from a crash until the own target is seen to work
}

// New returns a tracker that suspects nothing.
func New(cfg *Config) *Tracker {
	return &Tracker{
		cfg:      cfg,
		entries:  map[Fingerprint]*entry{},
		crashes:  map[CrashID]*crash{},
		inFlight: map[Fingerprint]int{},
		cleared:  map[Fingerprint]time.Duration{},
	}
}

// Check says what to do with a request. It may be called at an entry node too,
// which has no target of the service; it then never returns Busy.
func (t *Tracker) Check(now time.Duration, fp Fingerprint) Verdict {
	e := t.entries[fp]
	if e == nil {
		return Run
	}
	if t.expired(now, e) {
		delete(t.entries, fp)
		return Run
	}
	switch {
	case e.refused:
		e.last = now
		return Refuse
	case e.n < t.cfg.IsolateAfter:
		return Run
	case t.suspectInFlight():
		return Busy
	}
	return Isolate
}

// suspectInFlight looks through what is in flight rather than keep a count:
// a request may become a suspect by a report that comes while it runs.
func (t *Tracker) suspectInFlight() bool {
	for fp := range t.inFlight {
		if e := t.entries[fp]; e != nil && e.n >= t.cfg.IsolateAfter {
			return true
		}
	}
	return false
}

// Ticket is a request in flight at the own target.
type Ticket struct {
	fp     Fingerprint
	epoch  uint64
	booked bool
}

// Started books a request that is sent to the own target. While the target is
// down nothing is in flight there.
func (t *Tracker) Started(fp Fingerprint) Ticket {
	if t.down {
		return Ticket{fp: fp, epoch: t.epoch}
	}
	t.inFlight[fp]++
	return Ticket{fp: fp, epoch: t.epoch, booked: true}
}

// Ended books its end. whole says that the target gave a whole answer, of
// whatever status: the request does not crash targets, and is cleared.
func (t *Tracker) Ended(now time.Duration, k Ticket, whole bool) {
	if whole && t.entries[k.fp] != nil {
		t.Clear(now, k.fp)
	}
	// Of a target that crashed the requests end late, beside those of its next
	// incarnation; they are not in flight there.
	if k.epoch != t.epoch {
		return
	}
	if whole {
		t.down = false
	}
	if !k.booked {
		return
	}
	if t.inFlight[k.fp]--; t.inFlight[k.fp] <= 0 {
		delete(t.inFlight, k.fp)
	}
}

// Down reports whether the own target crashed and wasn't seen to work since.
func (t *Tracker) Down() bool { return t.down }

// Up books that the own target takes connections again. A whole answer says so
// too, but a target that dies of its first request gives none.
func (t *Tracker) Up() { t.down = false }

// Crashed books that the own target died without being asked to, and returns
// the report for the other nodes; ok is false if nothing was in flight.
//
// While the target is down it books nothing. Symptom otherwise: an innocent
// request that many send is refused on all nodes. Events: a target dies, some
// connections to it are still pooled; requests sent on these break one by one
// while it restarts, each looks like a crash with nothing else in flight.
func (t *Tracker) Crashed(now time.Duration, id CrashID) (r Report, ok bool) {
	if t.down {
		return Report{}, false
	}
	r = Report{Crash: id, InFlight: len(t.inFlight)}
	for fp := range t.inFlight {
		r.Fingerprints = append(r.Fingerprints, fp)
		if _, ok := t.cleared[fp]; ok {
			r.Cleared = append(r.Cleared, fp)
		}
	}
	t.epoch++
	t.down = true
	clear(t.inFlight)
	t.order(r.Fingerprints)
	r.Fingerprints = r.Fingerprints[:min(len(r.Fingerprints), t.cfg.MaxReport)]
	t.order(r.Cleared)
	t.Merge(now, r)
	return r, r.InFlight > 0
}

// Suspects returns how many fingerprints are remembered and how many of these
// are refused, for metrics.
func (t *Tracker) Suspects() (known, refused int) {
	for _, e := range t.entries {
		if e.refused {
			refused++
		}
	}
	return len(t.entries), refused
}

// Clear forgets a fingerprint: a target answered it whole, or on an operator's
// word.
func (t *Tracker) Clear(now time.Duration, fp Fingerprint) {
	t.acquit(fp)
	if len(t.cleared) < t.cfg.MaxEntries {
		t.cleared[fp] = now
	}
}

func (t *Tracker) expired(now time.Duration, e *entry) bool {
	if e.refused {
		return now-e.last >= t.cfg.Remember
	}
	return now-e.last >= t.cfg.Forget
}
