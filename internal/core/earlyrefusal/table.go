package earlyrefusal

import (
	"math/rand/v2"
	"slices"
	"time"

	"peardrift/internal/core/request"
)

// Key identifies a callee service, the class of a call to it, and the tenant whose
// share the call uses.
type Key struct {
	Service request.Service
	Class   request.Class
	Tenant  request.Tenant
}

// ownKey returns the key of the targets' own levels for a tenant. Without the
// tenant, the level caused by one tenant's flood of a shared service would make
// callers refuse the other tenants' requests.
func (k Key) ownKey() Key { return Key{Service: k.Service, Tenant: k.Tenant} }

// Report holds the levels that one response carries.
type Report struct {
	Target request.TargetID
	// Own is the target's own admission level for the tenant. It applies to all
	// classes, so a response to one class updates the others.
	Own request.Level
	// Exempt lists the priorities from which requests are admitted although they are
	// below Own, at most one for each importance.
	Exempt []request.Level
	// Chain is the level of the services below it for the call's class.
	Chain request.Level
	// Slots is the target's capacity, the weight of its levels.
	Slots int
}

// targetReports holds the recent reports of one target.
type targetReports struct {
	target      request.TargetID
	lastLevel   request.Level
	exempt      []request.Level // of the last report
	level       request.Level   // minimum since spanStart; in Table.sorted the level compared
	prevSpanMin request.Level   // minimum of the previous span
	spanStart   time.Duration
	weight      int
	reportedAt  time.Duration // time of the last report
}

// never precedes any report.
const never = -time.Hour

// record adds a report. A level rises until its effect shows, which in a deep call
// chain takes a few hundred milliseconds, so it overshoots. Callers that followed
// each peak would all refuse the same requests at the same time and starve the
// callee; they use the minimum of the last one to two spans instead.
func (h *targetReports) record(level request.Level, weight int, now, span time.Duration) {
	switch {
	case now-h.spanStart >= 2*span:
		h.level, h.prevSpanMin, h.spanStart = level, level, now
	case now-h.spanStart >= span:
		h.level, h.prevSpanMin, h.spanStart = level, h.level, now
	default:
		h.level = min(h.level, level)
	}
	h.lastLevel, h.weight, h.reportedAt = level, weight, now
}

// recentMin returns the lowest level reported in the last one to two spans.
func (h *targetReports) recentMin() request.Level { return min(h.level, h.prevSpanMin) }

func (h *targetReports) latest() request.Level { return h.lastLevel }

// limitTo returns a level of the target, lowered to its exemption for an importance.
func (h *targetReports) limitTo(level request.Level, imp request.Importance) request.Level {
	for _, from := range h.exempt {
		if from.Importance() == imp {
			return min(level, from)
		}
	}
	return level
}

// keyLevels holds the reports and computed levels of one key.
type keyLevels struct {
	targets     []targetReports
	level       request.Level // compared with requests, computed at computedAt
	latest      request.Level // reported upstream, computed at computedAt
	exempt      []exemption   // computed at computedAt
	computedAt  time.Duration
	fresh       bool
	means       []meanLevel // one for each importance asked for
	probeCredit float64     // fraction of a probe accumulated so far
}

// exemption holds the levels of a key for an importance that some target exempts.
type exemption struct {
	importance    request.Importance
	level, latest request.Level
}

// levelsFor returns the levels that apply to a priority.
func (l *keyLevels) levelsFor(p request.Priority) (level, latest request.Level) {
	for i := range l.exempt {
		if x := &l.exempt[i]; x.importance == p.Importance() {
			return x.level, x.latest
		}
	}
	return l.level, l.latest
}

// Table holds the levels that one node learned from its callees.
type Table struct {
	cfg    *Config
	rng    *rand.Rand
	keys   map[Key]*keyLevels
	sorted []targetReports // scratch space of quantile, ascending by level
}

// NewTable returns an empty table, which refuses nothing. rng adds jitter to
// RetryAfter.
func NewTable(cfg *Config, rng *rand.Rand) *Table {
	return &Table{cfg: cfg, rng: rng, keys: map[Key]*keyLevels{}}
}

// Learn records the levels that a response carried.
func (t *Table) Learn(now time.Duration, k Key, r Report) {
	t.learn(now, k.ownKey(), &r, r.Own, r.Exempt)
	t.learn(now, k, &r, r.Chain, nil)
}

func (t *Table) learn(now time.Duration, k Key, r *Report, level request.Level, exempt []request.Level) {
	l := t.keys[k]
	if l == nil {
		if len(t.keys) >= t.cfg.MaxKeys {
			return
		}
		l = &keyLevels{}
		t.keys[k] = l
	}
	h := l.entry(r.Target, t.cfg.MaxTargets)
	if h.reportedAt > now {
		return // reordered: a newer response has been recorded
	}
	h.record(level, max(r.Slots, 1), now, t.cfg.Span)
	h.exempt = exempt
	if now-l.computedAt >= t.cfg.CacheTTL {
		l.fresh = false
	}
}

// entry returns the reports of a target: existing ones, new ones, or new ones in
// place of those with the oldest report.
func (l *keyLevels) entry(id request.TargetID, limit int) *targetReports {
	oldest := 0
	for i := range l.targets {
		if l.targets[i].target == id {
			return &l.targets[i]
		}
		if l.targets[i].reportedAt < l.targets[oldest].reportedAt {
			oldest = i
		}
	}
	if len(l.targets) < limit {
		l.targets = append(l.targets, targetReports{target: id, spanStart: never})
		return &l.targets[len(l.targets)-1]
	}
	l.targets[oldest] = targetReports{target: id, spanStart: never}
	return &l.targets[oldest]
}

// Forget removes a target that left the service or takes no calls, so that it no longer
// counts as known.
func (t *Table) Forget(id request.TargetID) {
	for _, l := range t.keys {
		for i := range l.targets {
			if l.targets[i].target == id {
				l.targets = append(l.targets[:i], l.targets[i+1:]...)
				l.fresh = false
				break
			}
		}
	}
}

// Verdict is the result of Check.
type Verdict struct {
	// Refuse: the callee would refuse the request; it was not executed.
	Refuse bool
	// Probe: the level refuses the request, but it is sent to check whether the
	// level still applies.
	Probe bool
	// Level is the level that the priority was compared with.
	Level request.Level
	// RetryAfter is the retry delay for a refused request.
	RetryAfter time.Duration
}

// Check decides whether the service would refuse a request with priority p.
func (t *Table) Check(now time.Duration, k Key, p request.Priority) Verdict {
	level := t.Level(now, k, p)
	if p >= level {
		return Verdict{Level: level}
	}
	if l := t.keys[k]; l.takeProbe(t.cfg.ProbeFraction) {
		return Verdict{Probe: true, Level: level}
	}
	wait := t.cfg.RetryAfter
	if t.cfg.RetryJitter > 0 {
		wait += time.Duration(t.rng.Int64N(int64(t.cfg.RetryJitter)))
	}
	return Verdict{Refuse: true, Level: level, RetryAfter: wait}
}

// Level returns the level learned for a service and class, as it applies to requests of
// one priority: lower where the service's targets exempt its importance, 0 if it admits
// everything or is unknown.
func (t *Table) Level(now time.Duration, k Key, p request.Priority) request.Level {
	own, _ := t.levelsOf(now, k.ownKey()).levelsFor(p)
	return max(own, t.levelsOf(now, k).level)
}

// latest returns the last reported level for requests of one priority, to be reported
// upstream. Reporting the recent minimum instead would add its delay at each hop.
func (t *Table) latest(now time.Duration, k Key, p request.Priority) request.Level {
	if t.cfg.Paced {
		imp := p.Importance()
		if within := max(t.mean(now, k.ownKey(), imp), t.mean(now, k, imp)); within > 0 {
			return within
		}
		// The level lies below the importance. Requests of one class may have several:
		// without it, answers to the more important ones would say that nothing is refused.
		return min(t.latestOfTargets(now, k, p), request.LowestPriority(imp))
	}
	return t.latestOfTargets(now, k, p)
}

// latestOfTargets returns the quantile of the targets' last reported levels.
func (t *Table) latestOfTargets(now time.Duration, k Key, p request.Priority) request.Level {
	_, own := t.levelsOf(now, k.ownKey()).levelsFor(p)
	return max(own, t.levelsOf(now, k).latest)
}

// levelsOf returns the levels of a key, recomputed if stale.
func (t *Table) levelsOf(now time.Duration, k Key) *keyLevels {
	l := t.keys[k]
	if l == nil {
		return &noLevels
	}
	t.refresh(now, l)
	return l
}

// noLevels is returned for a key without reports.
var noLevels keyLevels

// takeProbe reports whether the next refused request is sent as a probe. A nil
// receiver, a class that was never sent to the service, sends none; it learns from
// the probes of other classes.
func (l *keyLevels) takeProbe(share float64) bool {
	if l == nil {
		return false
	}
	l.probeCredit += share
	if l.probeCredit < 1 {
		return false
	}
	l.probeCredit--
	return true
}

// refresh recomputes the levels of a key unless they are cached.
func (t *Table) refresh(now time.Duration, l *keyLevels) {
	if l.fresh && now-l.computedAt < t.cfg.CacheTTL {
		return
	}
	l.level = t.quantile(now, l, (*targetReports).recentMin)
	l.latest = t.quantile(now, l, (*targetReports).latest)
	l.exempt = l.exempt[:0]
	for i := range l.targets {
		for _, from := range l.targets[i].exempt {
			t.refreshExemption(now, l, from.Importance())
		}
	}
	l.computedAt, l.fresh = now, true
}

// refreshExemption computes the levels of a key for an importance, unless it already has.
func (t *Table) refreshExemption(now time.Duration, l *keyLevels, imp request.Importance) {
	if slices.ContainsFunc(l.exempt, func(x exemption) bool { return x.importance == imp }) {
		return
	}
	l.exempt = append(l.exempt, exemption{
		importance: imp,
		level:      t.quantile(now, l, func(h *targetReports) request.Level { return h.limitTo(h.recentMin(), imp) }),
		latest:     t.quantile(now, l, func(h *targetReports) request.Level { return h.limitTo(h.latest(), imp) }),
	})
}

// knownForAges is the number of Ages without a report for which a target still
// counts as able to report. Without this bound, a service that has lost all targets
// but one would be called with requests that the last one refuses, because the lost
// targets' reports are awaited; Forget removes a target at once.
const knownForAges = 5

// isCurrent reports whether a target's report still counts relative to the newest.
// Where reports are infrequent, the latest few count, so that a change is known
// before all targets have reported it.
func (t *Table) isCurrent(l *keyLevels, newest, at time.Duration) bool {
	age := newest - at
	return age < t.cfg.Hold || age < t.cfg.MaxReportLag && l.reportsAfter(at) < t.cfg.MinReports
}

// reportsAfter returns the number of targets that reported after a time.
func (l *keyLevels) reportsAfter(at time.Duration) (n int) {
	for i := range l.targets {
		if l.targets[i].reportedAt > at {
			n++
		}
	}
	return n
}

// newestReport returns the time of the service's newest report.
func (l *keyLevels) newestReport() time.Duration {
	at := never
	for i := range l.targets {
		at = max(at, l.targets[i].reportedAt)
	}
	return at
}

// quantile returns the lowest level such that targets with more than Quantile of the
// reported capacity are at or below it.
func (t *Table) quantile(now time.Duration, l *keyLevels, of func(*targetReports) request.Level) request.Level {
	t.sorted = t.sorted[:0]
	newest := l.newestReport()
	age := now - newest
	if age >= t.cfg.LevelTTL {
		return 0
	}
	total, known := 0, 0
	for i := range l.targets {
		h := &l.targets[i]
		if now-h.reportedAt < knownForAges*t.cfg.LevelTTL {
			known++
		}
		if !t.isCurrent(l, newest, h.reportedAt) {
			continue
		}
		total += h.weight
		t.insert(targetReports{level: t.ageLevel(of(h), age), weight: h.weight})
	}
	if len(t.sorted) < min(t.cfg.MinTargets, known) {
		return 0
	}
	limit := t.cfg.Quantile * float64(total)
	sum := 0
	for i := range t.sorted {
		sum += t.sorted[i].weight
		if float64(sum) > limit {
			return t.sorted[i].level
		}
	}
	return 0
}

// insert adds a report to the scratch space, in ascending order of level.
func (t *Table) insert(h targetReports) {
	t.sorted = append(t.sorted, h)
	for i := len(t.sorted) - 1; i > 0 && t.sorted[i-1].level > h.level; i-- {
		t.sorted[i], t.sorted[i-1] = t.sorted[i-1], t.sorted[i]
	}
}

// ageLevel returns the value of a level after age without reports. The level falls
// linearly to the lower bound of its importance, and drops to 0 at Config.LevelTTL. If it
// fell in proportion to its whole value, a level within one importance would soon be
// below that importance and admit all of it.
func (t *Table) ageLevel(level request.Level, age time.Duration) request.Level {
	if age <= t.cfg.Hold {
		return level
	}
	if age >= t.cfg.LevelTTL {
		return 0
	}
	left := float64(t.cfg.LevelTTL-age) / float64(t.cfg.LevelTTL-t.cfg.Hold)
	floor := request.Level(level.Importance()) << 16
	return floor + request.Level(float64(level-floor)*left)
}
