package waiting

import (
	"math/bits"
	"time"
)

const (
	// chainUnit is the resolution of chain times.
	chainUnit = 100 * time.Microsecond
	// stepsPerOctave is the number of buckets for each doubling of the time. A bucket's
	// bound exceeds the times in it by at most an eighth.
	stepsPerOctave = 8
	// chainBuckets reach to over 100 s, beyond the longest deadline.
	chainBuckets = 18 * stepsPerOctave
)

// chainTimes is a histogram of the chain times of one key over two windows.
type chainTimes struct {
	current, previous [chainBuckets]uint32
	total             uint32 // samples in both
	began             time.Duration
	quantile          time.Duration // valid unless stale
	stale             bool
}

// bucketOf returns the bucket of a time.
func bucketOf(d time.Duration) int {
	v := uint64(max(d, 0) / chainUnit)
	if v < stepsPerOctave {
		return int(v)
	}
	shift := bits.Len64(v) - bits.Len64(stepsPerOctave)
	return min(shift*stepsPerOctave+int(v>>shift), chainBuckets-1)
}

// bucketBound returns the time that no time of the bucket reaches.
func bucketBound(i int) time.Duration {
	if i < stepsPerOctave {
		return time.Duration(i+1) * chainUnit
	}
	shift := i/stepsPerOctave - 1
	return time.Duration(stepsPerOctave+i%stepsPerOctave+1) << shift * chainUnit
}

func (c *chainTimes) add(now, took, window time.Duration) {
	c.rotate(now, window)
	c.current[bucketOf(took)]++
	c.total++
	c.stale = true
}

// rotate begins a new window if the current one has ended.
func (c *chainTimes) rotate(now, window time.Duration) {
	age := now - c.began
	if age < window {
		return
	}
	if age < 2*window {
		c.previous = c.current
	} else {
		c.previous = [chainBuckets]uint32{}
	}
	c.current = [chainBuckets]uint32{}
	c.began, c.stale, c.total = now, true, 0
	for _, n := range c.previous {
		c.total += n
	}
}

// at returns the quantile of the times, false if there are too few samples.
func (c *chainTimes) at(now time.Duration, cfg *Config) (time.Duration, bool) {
	c.rotate(now, cfg.SampleWindow)
	if c.total < uint32(max(cfg.MinSamples, 1)) {
		return 0, false
	}
	if c.stale {
		c.quantile, c.stale = c.compute(cfg.Quantile), false
	}
	return c.quantile, true
}

// compute walks from the longest times down, since the quantile is high.
func (c *chainTimes) compute(q float64) time.Duration {
	above, limit := uint32(0), uint32((1-q)*float64(c.total))
	for i := chainBuckets - 1; i > 0; i-- {
		above += c.current[i] + c.previous[i]
		if above > limit {
			return bucketBound(i)
		}
	}
	return bucketBound(0)
}
