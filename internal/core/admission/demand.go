package admission

import (
	"math"
	"time"

	"peardrift/internal/core/request"
)

// Buckets of the demand profile: each importance is split by the hash.
const (
	hashBuckets = 16
	buckets     = importances * hashBuckets
	bucketShift = 12 // 16 bits of hash into 16 buckets
	bucketWidth = 1 << bucketShift
)

// rateKept is what a demand rate keeps over one window, or over rateSpan if the
// window is longer: after a pause the rates from before say nothing.
const (
	rateKept = 0.5
	rateSpan = 250 * time.Millisecond
)

// demand is the profile of one tenant's recent arrivals over priorities, in mean
// requests per second: a request counts by what its importance takes in the
// target, relative to the mean. Counted in time, what is remembered from a slow
// target would stand for far too much once the target is fast again. It is not a histogram in
// the sense of a library: rates decay, and buckets below the level are kept,
// because callers that know the level send nothing there and silence must not
// pass for lack of demand.
type demand struct {
	fresh [buckets]float32 // arrived in this window
	rate  [buckets]float32 // per second
	total float64          // sum of rate
}

func bucketOf(p request.Priority) int { return min(int(p>>bucketShift), buckets-1) }

// note takes in an arrival. One below the level is a probe, or was admitted
// upstream before the level rose: it says nothing about demand to come.
func (d *demand) note(p request.Priority, weight float64, level request.Level) {
	if p >= level {
		d.fresh[bucketOf(p)] += float32(weight)
	}
}

// roll ends a window in which the level held. What arrived above it is measured.
// Below it nothing shows, because callers that know the level send nothing
// there: the importance that the level cuts through is taken to go on below the
// cut as it does above, since hashes are spread evenly; of those below it keep
// is kept.
func (d *demand) roll(length time.Duration, level request.Level, keep float32) {
	weight := float32(1 - math.Pow(rateKept, max(1, length.Seconds()/rateSpan.Seconds())))
	scale := 1 / float32(length.Seconds())
	seen := int((level + bucketWidth - 1) >> bucketShift) // the lowest that shows whole
	for i := range d.rate {
		if i >= seen {
			d.rate[i] += weight * (d.fresh[i]*scale - d.rate[i])
		} else if i != seen-1 {
			d.rate[i] *= keep
		}
	}
	if part := request.Level(seen)<<bucketShift - level; part > 0 {
		d.rate[seen-1] = d.partly(seen-1, part, weight, scale, keep)
	}
	d.extend(seen)
	clear(d.fresh[:])
	d.total = 0
	for _, r := range d.rate {
		d.total += float64(r)
	}
}

// leastPart is the least part of a bucket that says something of the whole.
const leastPart = bucketWidth / 16

// partly returns the rate of the bucket that the level cuts, of which only the
// part above the cut showed.
func (d *demand) partly(i int, part request.Level, weight, scale, keep float32) float32 {
	if part < leastPart {
		return d.rate[i] * keep
	}
	whole := d.fresh[i] * scale * bucketWidth / float32(part)
	return d.rate[i] + weight*float32(part)/bucketWidth*(whole-d.rate[i])
}

// extend fills the hidden buckets of the importance that is partly seen.
func (d *demand) extend(seen int) {
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

// cut returns the level that leaves demand for capacity: 0 if all fits.
func (d *demand) cut(capacity float64) request.Level {
	if d.total <= capacity {
		return 0
	}
	sum := 0.0
	for i := buckets - 1; i >= 0; i-- {
		r := float64(d.rate[i])
		if sum+r > capacity {
			over := (sum + r - capacity) / r // part of the bucket to refuse
			return request.Level(i)<<bucketShift + request.Level(over*bucketWidth)
		}
		sum += r
	}
	return 0
}
