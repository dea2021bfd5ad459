package admission

import (
	"slices"

	"peardrift/internal/core/request"
)

const (
	// maxExempt is the maximum number of importances exempt at a time. Every answer
	// carries them.
	maxExempt = 4
	// minExemptPart is the smallest part of an importance that is exempted.
	minExemptPart = 1.0 / hashBuckets
)

// exemptions lists the priorities from which requests are admitted although they are
// below the level, at most one for each importance. A list is not changed once built.
type exemptions []request.Level

// of returns the priority from which an importance is exempt, and false if it isn't.
func (x exemptions) of(imp int) (request.Level, bool) {
	i := slices.IndexFunc(x, func(from request.Level) bool { return int(from.Importance()) == imp })
	if i < 0 {
		return 0, false
	}
	return x[i], true
}

// admit reports whether a request below the level is exempt.
func (x exemptions) admit(p request.Priority) bool {
	if len(x) == 0 {
		return false
	}
	from, ok := x.of(int(p.Importance()))
	return ok && p >= from
}

// visibleFrom returns the priority from which requests of an importance are admitted,
// at least the start of the importance and at most that of the next.
func (x exemptions) visibleFrom(imp int, level request.Level) request.Level {
	first, next := importanceStart(imp), importanceStart(imp+1)
	from := min(max(level, first), next)
	if exempt, ok := x.of(imp); ok {
		from = min(from, exempt)
	}
	return from
}

// importanceWidth is the number of priorities of one importance.
const importanceWidth = hashBuckets * bucketWidth

func importanceStart(imp int) request.Level { return request.Level(imp) * importanceWidth }

// exempt returns the exemptions that use at most the reserved rate, for importances that
// contain the level or are below it. An importance whose demand exceeds what is left of
// the reserve is exempted by the square of the ratio, so that the more it sends, the less
// of it is admitted.
func (d *demand) exempt(level request.Level, reserved float64) exemptions {
	var x exemptions
	for imp := min(int(level.Importance()), importances-1); imp >= 0 && len(x) < maxExempt; imp-- {
		asked := d.ofImportance(imp)
		if asked == 0 {
			continue
		}
		part := 1.0
		if asked > reserved {
			part = reserved / asked * reserved / asked
		}
		if part < minExemptPart {
			continue
		}
		reserved -= part * asked
		x = append(x, importanceStart(imp)+request.Level((1-part)*importanceWidth))
	}
	return x
}

// ofImportance returns the demand of one importance.
func (d *demand) ofImportance(imp int) (sum float64) {
	for _, r := range d.rate[imp*hashBuckets : (imp+1)*hashBuckets] {
		sum += float64(r)
	}
	return sum
}
