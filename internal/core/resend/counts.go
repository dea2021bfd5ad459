package resend

import "time"

// Bins of the sliding windows. A window of 10 s has bins of 250 ms.
const (
	windowBins = 40
	halfBins   = windowBins / 2
	// keptBins is the number of bins that are kept, a power of two. The bound reaches
	// back two windows.
	keptBins = 128
)

// fullSend is the weight of a first send that pays for resends with the whole ratio.
const fullSend = 1 << 10

// series counts events by bin. Its entries are totals up to and including a bin, so that
// the count of any range of bins is one subtraction.
type series struct {
	total  uint64
	totals [keptBins]uint64
}

func (s *series) add(bin int64, n uint64) {
	s.total += n
	s.totals[bin&(keptBins-1)] = s.total
}

// advance sets the bins after the last one up to bin; nothing happened in them.
func (s *series) advance(last, bin int64) {
	for b := max(last+1, bin-keptBins+1); b <= bin; b++ {
		s.totals[b&(keptBins-1)] = s.total
	}
}

// between returns the count of the bins from first to last, of which none is later than
// the current one.
func (s *series) between(first, last int64) uint64 {
	if last < first {
		return 0
	}
	return s.totals[last&(keptBins-1)] - s.totals[(first-1)&(keptBins-1)]
}

// counts are the sends of one target by bin.
type counts struct {
	width   time.Duration // of a bin
	bin     int64         // current bin
	first   series        // in parts of fullSend
	resends series
}

// advance moves to the bin of now. A time before the current bin counts as the current
// bin.
func (c *counts) advance(now time.Duration) (moved bool) {
	bin := int64(now / c.width)
	if bin <= c.bin {
		return false
	}
	c.first.advance(c.bin, bin)
	c.resends.advance(c.bin, bin)
	c.bin = bin
	return true
}

// paidFirst returns the weight of the first sends that surely lie in the window that ends in bin, in
// the one before it or in the one half a window before it, whichever has the most.
// Windows may begin and end anywhere in a bin, so their outermost bins don't count. The
// current bin counts for windows that end in it, as these end now or later.
func (c *counts) paidFirst(end int64) float64 {
	own := c.first.between(end-windowBins+1, min(end, c.bin))
	half := c.first.between(end-halfBins-windowBins+1, min(end-halfBins-1, c.bin))
	before := c.first.between(end-2*windowBins+1, min(end-windowBins-1, c.bin))
	return float64(max(own, half, before)) / fullSend
}

// allows reports whether one more resend now keeps the bound in all windows that contain
// it, also if nothing else is sent.
func (c *counts) allows(ratio float64) bool {
	for end := c.bin; end <= c.bin+windowBins; end++ {
		resends := c.resends.between(end-windowBins, c.bin) + 1
		if float64(resends) > ratio*c.paidFirst(end) {
			return false
		}
	}
	return true
}
