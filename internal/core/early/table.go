package early

import (
	"math/rand/v2"
	"time"

	"peardrift/internal/core/request"
)

// Key is a callee service, the class that a call to it has, and the tenant whose
// share it draws on.
type Key struct {
	Service request.Service
	Class   request.Class
	Tenant  request.Tenant
}

// own is the key under which the targets' own levels for a tenant are kept.
// Symptom if it lacked the tenant: one tenant floods a shared service, and
// callers refuse the other's requests by the level that is meant for the first.
func (k Key) own() Key { return Key{Service: k.Service, Tenant: k.Tenant} }

// Report is what one answer says of its target.
type Report struct {
	Target request.TargetID
	// Own is the target's own admission level for the tenant; it holds for all
	// classes, so an answer to one class is news for the others.
	Own request.Level
	// Chain is the level of the services below it for the call's class.
	Chain request.Level
	// Slots is the target's capacity; it weighs the levels.
	Slots int
}

// heard is what one target reported lately.
type heard struct {
	target request.TargetID
	last   request.Level
	level  request.Level // the lowest since `since`
	before request.Level // the lowest in the span before that
	since  time.Duration
	weight int
	at     time.Duration // of the last report
}

// never is long before any report.
const never = -time.Hour

// hear takes in a report. A level rises until its effect shows, which over a
// deep chain takes some hundred milliseconds, and so it overshoots. Callers that
// followed each peak would starve the callee, all of them the same requests at
// the same time; they go by the lowest level of the last one to two spans.
func (h *heard) hear(level request.Level, weight int, now, span time.Duration) {
	switch {
	case now-h.since >= 2*span:
		h.level, h.before, h.since = level, level, now
	case now-h.since >= span:
		h.level, h.before, h.since = level, h.level, now
	default:
		h.level = min(h.level, level)
	}
	h.last, h.weight, h.at = level, weight, now
}

// low is the lowest level reported lately.
func (h *heard) low() request.Level { return min(h.level, h.before) }

func (h *heard) latest() request.Level { return h.last }

// levels is what is known of one key.
type levels struct {
	heard []heard
	level request.Level // that requests are compared with, worked out at `at`
	last  request.Level // that is passed on, likewise
	at    time.Duration
	fresh bool
	skip  float64 // part of a probe that is due
}

// Table holds the levels that one node learned from its callees.
type Table struct {
	cfg  *Config
	rng  *rand.Rand
	keys map[Key]*levels
	sort []heard // scratch space of work
}

// NewTable returns an empty table, which refuses nothing. rng spreads
// RetryAfter.
func NewTable(cfg *Config, rng *rand.Rand) *Table {
	return &Table{cfg: cfg, rng: rng, keys: map[Key]*levels{}}
}

// Learn takes in the levels that an answer carried.
func (t *Table) Learn(now time.Duration, k Key, r Report) {
	t.learn(now, k.own(), &r, r.Own)
	t.learn(now, k, &r, r.Chain)
}

func (t *Table) learn(now time.Duration, k Key, r *Report, level request.Level) {
	l := t.keys[k]
	if l == nil {
		if len(t.keys) >= t.cfg.MaxKeys {
			return
		}
		l = &levels{}
		t.keys[k] = l
	}
	h := l.entry(r.Target, t.cfg.MaxTargets)
	if h.at > now {
		return // an answer that was overtaken by a newer one
	}
	h.hear(level, max(r.Slots, 1), now, t.cfg.Span)
	if now-l.at >= t.cfg.Reuse {
		l.fresh = false
	}
}

// entry returns the place for a target: its own, a new one or the oldest one.
func (l *levels) entry(id request.TargetID, limit int) *heard {
	oldest := 0
	for i := range l.heard {
		if l.heard[i].target == id {
			return &l.heard[i]
		}
		if l.heard[i].at < l.heard[oldest].at {
			oldest = i
		}
	}
	if len(l.heard) < limit {
		l.heard = append(l.heard, heard{target: id, since: never})
		return &l.heard[len(l.heard)-1]
	}
	l.heard[oldest] = heard{target: id, since: never}
	return &l.heard[oldest]
}

// Forget drops a target that left the service, so that its last level doesn't
// count among the known ones.
func (t *Table) Forget(id request.TargetID) {
	for _, l := range t.keys {
		for i := range l.heard {
			if l.heard[i].target == id {
				l.heard = append(l.heard[:i], l.heard[i+1:]...)
				l.fresh = false
				break
			}
		}
	}
}

// Verdict is the answer of Check.
type Verdict struct {
	// Refuse: the request would be refused; it ran nowhere.
	Refuse bool
	// Probe: the level refuses, but this request is sent to learn whether it
	// still holds.
	Probe bool
	// Level that was compared with.
	Level request.Level
	// RetryAfter is the advice for a refused one.
	RetryAfter time.Duration
}

// Check says whether a request with priority p would be refused by the service.
func (t *Table) Check(now time.Duration, k Key, p request.Priority) Verdict {
	level := t.Level(now, k)
	if p >= level {
		return Verdict{Level: level}
	}
	if l := t.keys[k]; l.probe(t.cfg.Probe) {
		return Verdict{Probe: true, Level: level}
	}
	wait := t.cfg.RetryAfter
	if t.cfg.Spread > 0 {
		wait += time.Duration(t.rng.Int64N(int64(t.cfg.Spread)))
	}
	return Verdict{Refuse: true, Level: level, RetryAfter: wait}
}

// Level returns the level learned of a service and class, 0 if it takes all or
// nothing is known.
func (t *Table) Level(now time.Duration, k Key) request.Level {
	own, chain := t.levelsOf(now, k.own()), t.levelsOf(now, k)
	return max(own.level, chain.level)
}

// latest returns the level as last reported, to be passed on up the chain.
// Passed on as the lowest of a while, it would be as much older at each hop.
func (t *Table) latest(now time.Duration, k Key) request.Level {
	own, chain := t.levelsOf(now, k.own()), t.levelsOf(now, k)
	return max(own.last, chain.last)
}

// levelsOf returns what is known of a key, worked out for now.
func (t *Table) levelsOf(now time.Duration, k Key) *levels {
	l := t.keys[k]
	if l == nil {
		return &nothing
	}
	t.work(now, l)
	return l
}

// nothing stands for a key of which nothing was heard.
var nothing levels

// probe reports whether the next refused request is sent after all. A class
// that was never sent to the service (nil) learns from the others.
func (l *levels) probe(share float64) bool {
	if l == nil {
		return false
	}
	l.skip += share
	if l.skip < 1 {
		return false
	}
	l.skip--
	return true
}

// work returns the level of a key, worked out again if it isn't fresh.
func (t *Table) work(now time.Duration, l *levels) {
	if l.fresh && now-l.at < t.cfg.Reuse {
		return
	}
	l.level = t.quantile(now, l, (*heard).low)
	l.last = t.quantile(now, l, (*heard).latest)
	l.at, l.fresh = now, true
}

// knownFor is for how many times Age without a report a target still counts as one
// that could report. Without it a service that has lost all targets
// but one is called with what that one refuses, since the lost ones are waited
// for; Forget does the same at once.
const knownFor = 5

// counts reports whether a target's report still counts beside the newest. Where reports
// are rare the latest few count, so that a change is known before all targets have
// reported it.
func (t *Table) counts(l *levels, newest, at time.Duration) bool {
	age := newest - at
	return age < t.cfg.Hold || age < t.cfg.Outdated && l.since(at) < t.cfg.MinReports
}

// since returns how many targets have reported after a time.
func (l *levels) since(at time.Duration) (n int) {
	for i := range l.heard {
		if l.heard[i].at > at {
			n++
		}
	}
	return n
}

// newest returns when a target of the service last reported.
func (l *levels) newest() time.Duration {
	at := never
	for i := range l.heard {
		at = max(at, l.heard[i].at)
	}
	return at
}

// quantile returns the lowest level such that targets with more than Quantile
// of the capacity heard of are at or below it.
func (t *Table) quantile(now time.Duration, l *levels, of func(*heard) request.Level) request.Level {
	t.sort = t.sort[:0]
	newest := l.newest()
	age := now - newest
	if age >= t.cfg.Age {
		return 0
	}
	total, known := 0, 0
	for i := range l.heard {
		h := &l.heard[i]
		if now-h.at < knownFor*t.cfg.Age {
			known++
		}
		if !t.counts(l, newest, h.at) {
			continue
		}
		total += h.weight
		t.insert(heard{level: t.aged(of(h), age), weight: h.weight})
	}
	if len(t.sort) < min(t.cfg.MinTargets, known) {
		return 0
	}
	limit := t.cfg.Quantile * float64(total)
	sum := 0
	for i := range t.sort {
		sum += t.sort[i].weight
		if float64(sum) > limit {
			return t.sort[i].level
		}
	}
	return 0
}

// insert keeps the scratch space in ascending order of level.
func (t *Table) insert(h heard) {
	t.sort = append(t.sort, h)
	for i := len(t.sort) - 1; i > 0 && t.sort[i-1].level > h.level; i-- {
		t.sort[i], t.sort[i-1] = t.sort[i-1], t.sort[i]
	}
}

// aged is what a level counts for after age without news: it opens the
// importance that it cuts through bit by bit, and only then those below. If it
// fell in proportion to its whole value, a level within one importance would
// soon be below all of it and admit everything.
func (t *Table) aged(level request.Level, age time.Duration) request.Level {
	if age <= t.cfg.Hold {
		return level
	}
	if age >= t.cfg.Age {
		return 0
	}
	left := float64(t.cfg.Age-age) / float64(t.cfg.Age-t.cfg.Hold)
	floor := request.Level(level.Importance()) << 16
	return floor + request.Level(float64(level-floor)*left)
}
