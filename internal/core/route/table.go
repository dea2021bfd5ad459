package route

import (
	"math/rand/v2"
	"time"

	"peardrift/internal/core/request"
)

// entry is one target of the subset and its measurements.
type entry struct {
	Target
	inSubset bool // in the current subset
	local    bool // in the caller's zone
	cap      int32
	inFlight int32

	measured  bool
	latency   float64 // seconds, mean of successes
	errorRate float64 // fraction of failures, 0 to 1
	shedRate  float64 // fraction of refusals for load, 0 to 1
	updatedAt time.Duration
	failures  int // consecutive

	reported         bool
	reportedLoad     float64 // 0 to 1, above 1 if calls are queued
	reportedLimit    int
	reportedAt       time.Duration
	inFlightAtReport int32   // calls in flight from here at the report
	trust            float64 // weight of reports, 0 to 1

	pace speed

	level   request.Level
	exempt  []request.Level
	levelAt time.Duration

	avoid      avoidance
	avoidUntil time.Duration
	ejections  int // consecutive
	breaks     int // consecutive
	probing    bool

	// Derived by refresh.
	load   float64
	cost   float64
	weight float64 // relative sampling probability, 0 to 1
	hot    bool
}

type avoidance uint8

const (
	avoidNone avoidance = iota
	avoidErrors
	avoidFailed
)

// Table holds the targets of one callee service as seen by one caller.
type Table struct {
	cfg      *Config
	locality Locality
	rng      *rand.Rand
	entries  []entry
	free     []int32
	index    map[request.TargetID]int32
	all      []int32 // the subset, local zone first
	local    []int32 // subslices of all
	remote   []int32

	refreshedAt  time.Duration
	derivedValid bool
	meanLoad     float64
	meanLatency  float64

	classTimes map[request.Class]float64 // seconds at a pace of 1
	leftZone   bool                      // see LeftZone
}

// NewTable returns an empty table for a caller at the given place. rng samples the
// targets to compare; it must not be shared with another goroutine.
func NewTable(cfg *Config, at Locality, rng *rand.Rand) *Table {
	return &Table{cfg: cfg, locality: at, rng: rng, index: map[request.TargetID]int32{}, classTimes: map[request.Class]float64{}}
}

// Update applies a new snapshot of the service's targets; it doesn't retain ts. callers
// is the number of nodes that call the service, 0 if unknown. Targets that stay in the
// subset keep their measurements.
func (t *Table) Update(now time.Duration, ts []Target, callers int) {
	local, remote := subset(t.cfg, t.locality, ts, callers)
	for i := range t.entries {
		t.entries[i].inSubset = false
	}
	// The expected number of callers per target, from the size of the subsets.
	expected := float64(callers*(len(local)+len(remote))) / float64(max(len(ts), 1))
	t.all = t.addTargets(t.all[:0], now, ts, local, expected)
	t.all = t.addTargets(t.all, now, ts, remote, expected)
	t.local, t.remote = t.all[:len(local)], t.all[len(local):]
	for _, i := range t.local {
		t.entries[i].local = true
	}
	for i := range t.entries {
		t.release(int32(i))
	}
	t.derivedValid = false
}

// addTargets adds the listed targets to the table and returns their indices.
func (t *Table) addTargets(to []int32, now time.Duration, ts []Target, list []int, expected float64) []int32 {
	for _, j := range list {
		tg := ts[j]
		i, ok := t.index[tg.ID]
		if !ok || t.entries[i].Incarnation < tg.Incarnation {
			i = t.allocate()
			t.index[tg.ID] = i
			t.entries[i] = entry{Target: tg, trust: 1, updatedAt: now}
		}
		e := &t.entries[i]
		if tg.Incarnation == e.Incarnation {
			// A leave learned from an answer takes precedence over an older snapshot of
			// the same incarnation.
			tg.Leaving = tg.Leaving || e.Leaving
			e.Target = tg
		}
		e.inSubset, e.local = true, false
		e.cap = connCap(t.cfg, tg.Conns, expected)
		to = append(to, i)
	}
	return to
}

func (t *Table) allocate() int32 {
	if n := len(t.free); n > 0 {
		i := t.free[n-1]
		t.free = t.free[:n-1]
		return i
	}
	t.entries = append(t.entries, entry{})
	return int32(len(t.entries) - 1)
}

// release frees the index of a target that is neither in the subset nor has calls in
// flight. Until then the index stays reserved, so that Done of a call sent before an
// Update can't be attributed to another target.
func (t *Table) release(i int32) {
	e := &t.entries[i]
	if e.inSubset || e.inFlight > 0 || e.ID == 0 {
		return
	}
	if t.index[e.ID] == i {
		delete(t.index, e.ID)
	}
	*e = entry{}
	t.free = append(t.free, i)
}

// connCap returns the limit of calls in flight from one caller to one target, each of
// which holds a connection: PeakFactor times the caller's even share.
func connCap(cfg *Config, conns int, expected float64) int32 {
	if conns <= 0 {
		return 1 << 30
	}
	if expected < 1 {
		expected = 1
	}
	share := cfg.PeakFactor * float64(conns) / expected
	return int32(min(max(share, 1), float64(conns)))
}

// Len returns the number of targets in the subset.
func (t *Table) Len() int { return len(t.all) }

// Target returns the target at an index that Pick returned.
func (t *Table) Target(idx int) Target { return t.entries[idx].Target }

// InFlight returns the number of calls in flight from this caller at an index that Pick
// returned.
func (t *Table) InFlight(idx int) int { return int(t.entries[idx].inFlight) }
