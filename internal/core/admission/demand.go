package admission

import (
	"math"
	"time"

	"peardrift/internal/core/request"
)

// The demand profile splits each importance into buckets by hash.
const (
	hashBuckets = 16
	buckets     = importances * hashBuckets
	bucketShift = 12 // 16 bits of hash into 16 buckets
	bucketWidth = 1 << bucketShift
)

// rateRetention is the fraction of a demand rate that remains after one window, or
// per rateDecayInterval if the window is longer: after a pause, rates from before it
// are stale.
const (
	rateRetention     = 0.5
	rateDecayInterval = 250 * time.Millisecond
	// reactionHalfLives is the number of half-lives of a rate in the time until a change of
	// the level shows in the arrivals.
	reactionHalfLives = 8
)

// demand is the profile of one tenant's recent arrivals by priority, in mean
// requests per second: a request is weighted by the service time of its importance
// relative to the mean. If demand were counted in time, rates recorded while the
// target was slow would be far too high once it is fast again.
//
// Unlike a library histogram, the rates decay, and buckets below the level keep
// their rates: callers that know the level send nothing there, and that must not be
// mistaken for a lack of demand.
type demand struct {
	arrived [buckets]float32 // in this window
	rate    [buckets]float32 // per second
	total   float64          // sum of rate
	settling
	reaction time.Duration // mean of all importances, as of the last settle
}

func bucketOf(p request.Priority) int { return min(int(p>>bucketShift), buckets-1) }

// record adds an arrival that the level admits. One that it refuses is a probe, or was
// admitted upstream before the level rose, and does not predict demand.
func (d *demand) record(p request.Priority, weight float64) {
	d.arrived[bucketOf(p)] += float32(weight)
}

// halvings returns how often a rate halves in a window without arrivals. The level can't
// follow a change sooner than it shows in the arrivals, so rates are averaged over a part
// of that time; less random variation then moves the level.
func (d *demand) halvings(length time.Duration) float64 {
	if halfLife := d.reaction / reactionHalfLives; halfLife > length {
		return length.Seconds() / halfLife.Seconds()
	}
	return max(1, length.Seconds()/rateDecayInterval.Seconds())
}

// windowSample is how the arrivals of one window enter the rates.
type windowSample struct {
	weight float32 // of the window in the moving average
	scale  float32 // from arrivals to a rate
	keep   float32 // fraction of a rate that remains where nothing is visible
}

// endWindow closes a window during which the level and the exemptions were constant.
// Admitted arrivals are measured. The rates of priorities that have been admitted for a
// short time only can rise but not fall, since their calls may still be on the way. The
// others are not visible, because callers that know the level send nothing there. An
// importance of which a part is admitted is extrapolated from it, since hashes are uniformly
// distributed; the rates of importances that are refused entirely are multiplied by keep.
func (d *demand) endWindow(length time.Duration, level request.Level, x exemptions, keep float32) {
	w := windowSample{
		weight: float32(1 - math.Pow(rateRetention, d.halvings(length))),
		scale:  1 / float32(length.Seconds()),
		keep:   keep,
	}
	for imp := range importances {
		visible := x.visibleFrom(imp, level)
		settled := max(visible, d.settledFrom(imp))
		d.raiseUnsettled(visible, settled, &w)
		d.endImportance(imp, settled, &w)
	}
	clear(d.arrived[:])
	d.total = 0
	for _, r := range d.rate {
		d.total += float64(r)
	}
}

// raiseUnsettled raises the rates of the priorities from visible to settled if more arrived.
func (d *demand) raiseUnsettled(visible, settled request.Level, w *windowSample) {
	for i := int((visible + bucketWidth - 1) >> bucketShift); i < int(settled>>bucketShift); i++ {
		d.rate[i] += w.weight * max(d.arrived[i]*w.scale-d.rate[i], 0)
	}
}

// endImportance updates the rates of one importance, of which the part from visible on
// was admitted.
func (d *demand) endImportance(imp int, visible request.Level, w *windowSample) {
	first, end := imp*hashBuckets, (imp+1)*hashBuckets
	seen := int((visible + bucketWidth - 1) >> bucketShift) // lowest fully visible bucket
	for i := seen; i < end; i++ {
		d.rate[i] += w.weight * (d.arrived[i]*w.scale - d.rate[i])
	}
	shown := seen
	if part := request.Level(seen)<<bucketShift - visible; part > 0 {
		shown--
		d.rate[shown] = d.partialRate(shown, part, w)
	}
	if shown == end {
		for i := first; i < end; i++ {
			d.rate[i] *= w.keep
		}
		return
	}
	d.extrapolate(first, shown, end)
}

// minVisibleWidth is the smallest visible part of a bucket from which its rate is
// estimated.
const minVisibleWidth = bucketWidth / 16

// partialRate returns the rate of a bucket of which only a part is visible.
func (d *demand) partialRate(i int, part request.Level, w *windowSample) float32 {
	if part < minVisibleWidth {
		return d.rate[i] * w.keep
	}
	whole := d.arrived[i] * w.scale * bucketWidth / float32(part)
	return d.rate[i] + w.weight*float32(part)/bucketWidth*(whole-d.rate[i])
}

// extrapolate sets the hidden buckets from first to shown to the mean of the visible
// ones up to end.
func (d *demand) extrapolate(first, shown, end int) {
	if shown == first {
		return
	}
	mean := float32(0)
	for _, r := range d.rate[shown:end] {
		mean += r / float32(end-shown)
	}
	for i := first; i < shown; i++ {
		d.rate[i] = mean
	}
}

// levelFor returns the lowest level at which the remaining demand fits the capacity, 0 if
// all of it fits, and the exemptions from it that use the reserved part of the capacity.
func (d *demand) levelFor(capacity, reserved float64) (request.Level, exemptions) {
	if d.total <= capacity {
		return 0, nil
	}
	level := d.cut(capacity, nil)
	if reserved <= 0 {
		return level, nil
	}
	x := d.exempt(level, reserved)
	return d.cut(capacity, x), x
}

// cut returns the lowest level at which what is not exempt fits beside what is.
func (d *demand) cut(capacity float64, x exemptions) request.Level {
	sum := 0.0
	for _, from := range x {
		imp := int(from.Importance())
		sum += d.ofImportance(imp) * float64(importanceStart(imp+1)-from) / importanceWidth
	}
	for i := buckets - 1; i >= 0; i-- {
		r := float64(d.rate[i])
		if from, ok := x.of(i / hashBuckets); ok {
			r *= hiddenPart(i, from)
		}
		if sum+r > capacity {
			over := min((sum+r-capacity)/r, 1) // fraction of the bucket to refuse
			return request.Level(i)<<bucketShift + request.Level(over*bucketWidth)
		}
		sum += r
	}
	return 0
}

// hiddenPart returns the part of a bucket that lies below a priority.
func hiddenPart(i int, from request.Level) float64 {
	start := request.Level(i) << bucketShift
	return float64(min(max(from, start), start+bucketWidth)-start) / bucketWidth
}
