package suspect

import (
	"slices"
	"time"
)

// Verdict is the decision about a request.
type Verdict uint8

const (
	// Run: no restriction.
	Run Verdict = iota
	// Isolate: run it as a suspect; no other suspect is in flight here.
	Isolate
	// Busy: another suspect is in flight here. Refuse the request as not run, with
	// status.CodeIsolationBusy and Config.RetryAfter. It must not be sent to another
	// target: of many simultaneous copies, each would then run somewhere.
	Busy
	// Refuse: refuse it with status.CodeSuspect.
	Refuse
)

// String returns the verdict as it appears in metrics and logs.
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

// entry is the state of one fingerprint.
type entry struct {
	crashes    [MaxCrashLimit]CrashID
	numCrashes int
	weight     float64 // sum of 1/n for crashes with n in flight
	refused    bool
	lastUpdate time.Duration // time of the last crash; if refused, when last seen
}

func (e *entry) add(id CrashID, weight float64) {
	if e.numCrashes == len(e.crashes) || slices.Contains(e.crashes[:e.numCrashes], id) {
		return
	}
	e.crashes[e.numCrashes] = id
	e.numCrashes++
	e.weight += weight
}

func (e *entry) drop(id CrashID, weight float64) {
	i := slices.Index(e.crashes[:e.numCrashes], id)
	if i < 0 {
		return
	}
	copy(e.crashes[i:e.numCrashes], e.crashes[i+1:e.numCrashes])
	e.numCrashes--
	e.weight -= weight
}

// Tracker tracks the suspects of one service at one node.
type Tracker struct {
	cfg      *Config
	entries  map[Fingerprint]*entry
	crashes  map[CrashID]*crash
	inFlight map[Fingerprint]int
	cleared  map[Fingerprint]time.Duration // when cleared
	epoch    uint64                        // increases with each crash of the local target
	down     bool                          // from a crash until the local target works again
}

// New returns an empty tracker.
func New(cfg *Config) *Tracker {
	return &Tracker{
		cfg:      cfg,
		entries:  map[Fingerprint]*entry{},
		crashes:  map[CrashID]*crash{},
		inFlight: map[Fingerprint]int{},
		cleared:  map[Fingerprint]time.Duration{},
	}
}

// Check decides about a request. An entry node without a target of the service may call
// it too; it never returns Busy there.
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
		e.lastUpdate = now
		return Refuse
	case e.numCrashes < t.cfg.IsolateAfter:
		return Run
	case t.suspectInFlight():
		return Busy
	}
	return Isolate
}

// suspectInFlight searches the requests in flight instead of keeping a count, because a
// report may turn a running request into a suspect.
func (t *Tracker) suspectInFlight() bool {
	for fp := range t.inFlight {
		if e := t.entries[fp]; e != nil && e.numCrashes >= t.cfg.IsolateAfter {
			return true
		}
	}
	return false
}

// Ticket is a request in flight at the local target.
type Ticket struct {
	fp      Fingerprint
	epoch   uint64
	counted bool
}

// Started records a request that is sent to the local target. While the target is down
// nothing counts as in flight.
func (t *Tracker) Started(fp Fingerprint) Ticket {
	if t.down {
		return Ticket{fp: fp, epoch: t.epoch}
	}
	t.inFlight[fp]++
	return Ticket{fp: fp, epoch: t.epoch, counted: true}
}

// Ended records the end of a request. whole reports that the target gave a complete
// answer of any status: the request doesn't crash targets and is cleared.
func (t *Tracker) Ended(now time.Duration, k Ticket, whole bool) {
	if whole && t.entries[k.fp] != nil {
		t.Clear(now, k.fp)
	}
	// Requests of a crashed target may end late, when those of its next incarnation are
	// in flight.
	if k.epoch != t.epoch {
		return
	}
	if whole {
		t.down = false
	}
	if !k.counted {
		return
	}
	if t.inFlight[k.fp]--; t.inFlight[k.fp] <= 0 {
		delete(t.inFlight, k.fp)
	}
}

// Down reports whether the local target crashed and hasn't been seen to work since.
func (t *Tracker) Down() bool { return t.down }

// Up records that the local target accepts connections again. A complete answer does so
// too, but a target that crashes on its first request gives none.
func (t *Tracker) Up() { t.down = false }

// Crashed records an unplanned crash of the local target and returns the report for the
// other nodes; ok is false if nothing was in flight.
//
// It ignores crashes while the target is down. After a crash, requests sent on pooled
// connections fail one by one while the target restarts; if each counted as a crash
// with nothing else in flight, an innocent popular request would be refused on all
// nodes.
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
	t.sortBySuspicion(r.Fingerprints)
	r.Fingerprints = r.Fingerprints[:min(len(r.Fingerprints), t.cfg.MaxReport)]
	t.sortBySuspicion(r.Cleared)
	t.Merge(now, r)
	return r, r.InFlight > 0
}

// Suspects returns the number of remembered fingerprints and of refused ones among
// them, for metrics.
func (t *Tracker) Suspects() (known, refused int) {
	for _, e := range t.entries {
		if e.refused {
			refused++
		}
	}
	return len(t.entries), refused
}

// Clear drops a fingerprint, after a complete answer or at an operator's request.
func (t *Tracker) Clear(now time.Duration, fp Fingerprint) {
	t.clearEntry(fp)
	if len(t.cleared) < t.cfg.MaxEntries {
		t.cleared[fp] = now
	}
}

func (t *Tracker) expired(now time.Duration, e *entry) bool {
	if e.refused {
		return now-e.lastUpdate >= t.cfg.RefusedTTL
	}
	return now-e.lastUpdate >= t.cfg.SuspectTTL
}
