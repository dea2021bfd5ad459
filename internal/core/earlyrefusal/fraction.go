package earlyrefusal

import (
	"math"
	"time"

	"peardrift/internal/core/request"
)

// Fraction returns the part of an importance, 0 to 1, that a service with its exemptions
// and the chain below it admit, by the latest reports.
func (t *Table) Fraction(now time.Duration, k Key, imp request.Importance) float64 {
	first, end := request.LowestPriority(imp), request.LowestPriority(imp+1)
	refused := min(max(t.latest(now, k, first), first)-first, end-first)
	return 1 - float64(refused)/float64(end-first)
}

// meanLevel is the mean level of a key's targets within one importance.
type meanLevel struct {
	importance request.Importance
	level      request.Level
	computedAt time.Duration
}

// mean returns the mean level of a key's targets within an importance, 0 if they admit all
// of it.
func (t *Table) mean(now time.Duration, k Key, imp request.Importance) request.Level {
	l := t.keys[k]
	if l == nil {
		return 0
	}
	for i := range l.means {
		m := &l.means[i]
		if m.importance != imp {
			continue
		}
		if now-m.computedAt >= t.cfg.CacheTTL {
			m.level, m.computedAt = t.computeMean(now, l, k.Class != "", imp), now
		}
		return m.level
	}
	l.means = append(l.means, meanLevel{imp, t.computeMean(now, l, k.Class != "", imp), now})
	return l.means[len(l.means)-1].level
}

const (
	// closedPart is the part of the reported capacity that has to refuse an importance
	// entirely for it to count as refused: its requests would hardly make several calls.
	closedPart = 0.3
	// chainHalfLife is the age at which a chain level counts half as much as the newest.
	// All nodes of the callee report the same levels of the services below.
	chainHalfLife = 50 * time.Millisecond
)

// computeMean returns the mean level within an importance, weighted by slots.
func (t *Table) computeMean(now time.Duration, l *keyLevels, chain bool, imp request.Importance) request.Level {
	newest := l.newestReport()
	age := now - newest
	if age >= t.cfg.LevelTTL {
		return 0
	}
	first, end := request.LowestPriority(imp), request.LowestPriority(imp+1)
	var all, closed weightedSum
	known, current := 0, 0
	for i := range l.targets {
		h := &l.targets[i]
		if now-h.reportedAt < knownForAges*t.cfg.LevelTTL {
			known++
		}
		if !t.isCurrent(l, newest, h.reportedAt) {
			continue
		}
		current++
		weight := float64(h.weight)
		if chain {
			weight *= math.Exp2(-(newest - h.reportedAt).Seconds() / chainHalfLife.Seconds())
		}
		level := t.ageLevel(h.limitTo(h.lastLevel, imp), age)
		refused := float64(min(max(level, first), end) - first)
		all.add(refused, weight)
		if h.lastLevel >= end {
			closed.add(refused, weight)
		}
	}
	if current < min(t.cfg.MinTargets, known) {
		return 0
	}
	if closed.weight >= closedPart*all.weight {
		all = closed
	}
	if all.sum == 0 {
		return 0
	}
	return first + request.Level(all.sum/all.weight)
}

type weightedSum struct{ sum, weight float64 }

func (s *weightedSum) add(x, weight float64) {
	s.sum += x * weight
	s.weight += weight
}
