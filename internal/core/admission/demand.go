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
}

func bucketOf(p request.Priority) int { return min(int(p>>bucketShift), buckets-1) }

// record adds an arrival. An arrival below the level is a probe, or was admitted
// upstream before the level rose, and does not predict demand.
func (d *demand) record(p request.Priority, weight float64, level request.Level) {
	if p >= level {
		d.arrived[bucketOf(p)] += float32(weight)
	}
}

// endWindow closes a window during which the level was constant. Arrivals above the
// level are measured. Below it nothing is visible, because callers that know the
// level send nothing there. The importance that contains the level is extrapolated
// from its part above the level, since hashes are uniformly distributed; the rates
// of lower importances are multiplied by keep.
func (d *demand) endWindow(length time.Duration, level request.Level, keep float32) {
	weight := float32(1 - math.Pow(rateRetention, max(1, length.Seconds()/rateDecayInterval.Seconds())))
	scale := 1 / float32(length.Seconds())
	seen := int((level + bucketWidth - 1) >> bucketShift) // lowest fully visible bucket
	for i := range d.rate {
		if i >= seen {
			d.rate[i] += weight * (d.arrived[i]*scale - d.rate[i])
		} else if i != seen-1 {
			d.rate[i] *= keep
		}
	}
	if part := request.Level(seen)<<bucketShift - level; part > 0 {
		d.rate[seen-1] = d.partialRate(seen-1, part, weight, scale, keep)
	}
	d.extrapolate(seen)
	clear(d.arrived[:])
	d.total = 0
	for _, r := range d.rate {
		d.total += float64(r)
	}
}

// minVisibleWidth is the smallest visible part of a bucket from which its rate is
// estimated.
const minVisibleWidth = bucketWidth / 16

// partialRate returns the rate of the bucket that contains the level, of which only
// the part above the level is visible.
func (d *demand) partialRate(i int, part request.Level, weight, scale, keep float32) float32 {
	if part < minVisibleWidth {
		return d.rate[i] * keep
	}
	whole := d.arrived[i] * scale * bucketWidth / float32(part)
	return d.rate[i] + weight*float32(part)/bucketWidth*(whole-d.rate[i])
}

// extrapolate fills the hidden buckets of the importance that is partly visible.
func (d *demand) extrapolate(seen int) {
	first := (seen - 1) / hashBuckets * hashBuckets
	if seen <= first || seen > buckets {
		return
	}
	shown := d.rate[seen-1 : first+hashBuckets]
	mean := float32(0)
	for _, r := range shown {
		mean += r / float32(len(shown))
	}
	for i := first; i < seen-1; i++ {
		d.rate[i] = mean
	}
}

// levelFor returns the lowest level at which the remaining demand fits the capacity:
// 0 if all of it fits.
func (d *demand) levelFor(capacity float64) request.Level {
	if d.total <= capacity {
		return 0
	}
	sum := 0.0
	for i := buckets - 1; i >= 0; i-- {
		r := float64(d.rate[i])
		if sum+r > capacity {
			over := (sum + r - capacity) / r // fraction of the bucket to refuse
			return request.Level(i)<<bucketShift + request.Level(over*bucketWidth)
		}
		sum += r
	}
	return 0
}
