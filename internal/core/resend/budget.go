package resend

import (
	"math"
	"time"

	"peardrift/internal/core/request"
)

// importances is the number of importances.
const importances = int(request.MaxImportance) + 1

// parts is the number of equal parts of an importance in which first sends are counted,
// by the hash of the priority.
const parts = 16

// priorities is the number of priorities within one importance, and partSize that
// within one part of it.
const (
	priorities = int(request.MaxPriority) / importances
	partSize   = priorities / parts
)

// Budget decides which rejected calls one target gets again. See the package comment.
type Budget struct {
	cfg       Config
	ratio     float64       // of Config, less the reserve
	opensAt   time.Duration // before it, an earlier process may have spent the budget
	counts    counts
	arrivals  [importances * parts]arrivals
	byImp     [importances]float64 // sum of the rates of an importance
	rejected  float64              // share of sends that are rejected, averaged over Config.Sample sends
	decay     float64              // of a rate in one bin
	threshold request.Priority
}

// arrivals measures the rate of first sends in one part of an importance.
type arrivals struct {
	inBin int
	rate  float64 // per bin
}

// NewBudget returns the budget of a target beside which a node starts now. It grants
// nothing for one window: a node that ran there before may have spent the budget of the
// windows that reach back to it.
func NewBudget(cfg Config, now time.Duration) *Budget {
	width := cfg.Window / windowBins
	return &Budget{
		cfg:     cfg,
		ratio:   cfg.Ratio * (1 - cfg.Reserve),
		opensAt: now + cfg.Window,
		counts:  counts{width: width, bin: int64(now / width)},
		decay:   math.Exp(-width.Seconds() / cfg.Average.Seconds()),
	}
}

// First records the first send of a call that has reached the target. retries is how much
// of the ratio callers' nodes may themselves spend on retries for each such call.
func (b *Budget) First(now time.Duration, p request.Priority, retries float64) {
	b.advance(now)
	b.counts.first.add(b.counts.bin, uint64(fullSend*max(0, 1-retries/b.ratio)))
	b.arrivals[int(p)/partSize].inBin++
}

// Ended records the result of a send, first or not: whether the target rejected it.
func (b *Budget) Ended(rejected bool) {
	x := 0.0
	if rejected {
		x = 1
	}
	b.rejected += (x - b.rejected) / float64(b.cfg.Sample)
}

// Take decides whether the target gets a rejected call again, and counts the resend if
// so. resends is how often it got the call again so far.
func (b *Budget) Take(now time.Duration, p request.Priority, resends int) bool {
	b.advance(now)
	if resends >= b.cfg.MaxResends || now < b.opensAt {
		return false
	}
	b.threshold = b.computeThreshold()
	if p < b.threshold || !b.counts.allows(b.ratio) {
		return false
	}
	b.counts.resends.add(b.counts.bin, 1)
	return true
}

func (b *Budget) advance(now time.Duration) {
	before := b.counts.bin
	if !b.counts.advance(now) {
		return
	}
	bins := float64(b.counts.bin - before)
	fast, slow := math.Pow(b.decay, bins), math.Exp(-bins/windowBins)
	b.byImp = [importances]float64{}
	for i := range b.arrivals {
		a := &b.arrivals[i]
		rate := a.rate*fast + float64(a.inBin)*(1-b.decay)*fast/b.decay
		if request.Priority(i*partSize) < b.threshold {
			// Requests that are not resent end at their first rejection and make few of
			// their calls: the need is that of before, which holds for about a window.
			rate = max(rate, a.rate*slow)
		}
		a.rate, a.inBin = rate, 0
		b.byImp[i/parts] += rate
	}
	b.threshold = b.computeThreshold()
}

// computeThreshold returns the priority above which the budget of a window covers the
// need.
func (b *Budget) computeThreshold() request.Priority {
	perCall := b.resendsPerCall()
	if perCall == 0 {
		return 0
	}
	// What the budget covers, in first sends per bin.
	left := b.ratio * b.counts.paidFirst(b.counts.bin) / windowBins / perCall
	for i := importances - 1; i >= 0; i-- {
		if b.byImp[i] > left {
			return b.thresholdWithin(i, left)
		}
		left -= b.byImp[i]
	}
	return 0
}

// thresholdWithin returns the priority within an importance above which there are left
// first sends per bin.
func (b *Budget) thresholdWithin(imp int, left float64) request.Priority {
	for i := (imp+1)*parts - 1; i >= imp*parts; i-- {
		if rate := b.arrivals[i].rate; rate > left {
			return request.Priority(i*partSize + int(float64(partSize)*(1-left/rate)))
		}
		left -= b.arrivals[i].rate
	}
	return request.Priority(imp * priorities) // the sum was greater by rounding only
}

// resendsPerCall returns how often a call is resent on average until the target accepts
// it, at most MaxResends times.
func (b *Budget) resendsPerCall() float64 {
	q := b.rejected
	if q > 1-1e-9 {
		return float64(b.cfg.MaxResends)
	}
	return q * (1 - math.Pow(q, float64(b.cfg.MaxResends))) / (1 - q)
}
