package admission

import (
	"math"
	"time"
)

// Parameters of a target's rate limit.
const (
	// rateSpan is the time over which the calls that started stay within the rate on
	// average, including those that started before the target named it.
	rateSpan = 4 * time.Second
	rateBin  = 100 * time.Millisecond
	rateBins = int(rateSpan / rateBin)
	// rateBurst is the time for which calls that were not started may be made up for.
	rateBurst = 250 * time.Millisecond
	// maxRatePause is the longest time without a call while the calls of the last
	// rateSpan exceed the rate: only a response shows that the target takes more.
	maxRatePause = time.Second
	// minRate, in calls per second, applies if the target names a lower one.
	minRate = 1.0 / 60
)

// rateLimit keeps the calls that start within the rate that the target accepts. The zero
// value has no limit.
type rateLimit struct {
	perSecond float64 // 0: no limit
	tokens    float64
	at        time.Duration // when tokens was computed
	lastStart time.Duration // of a call
	started   [rateBins]int // calls by the bin in which they started
	newest    int64         // bin that contains the latest start
	refused   int           // calls refused in the current window
	inWindow  int           // calls started in the current window
}

// set changes the rate; +Inf removes the limit.
func (r *rateLimit) set(now time.Duration, perSecond float64) {
	if math.IsInf(perSecond, 1) {
		r.perSecond = 0
		return
	}
	if r.perSecond == 0 {
		r.tokens, r.at = 0, now
	}
	r.refill(now)
	r.perSecond = max(perSecond, minRate)
	r.tokens = min(r.tokens, r.burst())
}

// burst returns the maximum number of tokens.
func (r *rateLimit) burst() float64 { return max(1, r.perSecond*rateBurst.Seconds()) }

func (r *rateLimit) refill(now time.Duration) {
	r.tokens = min(r.tokens+r.perSecond*(now-r.at).Seconds(), r.burst())
	r.at = now
}

// allows reports whether a call may start now.
func (r *rateLimit) allows(now time.Duration) bool {
	if r.perSecond == 0 {
		return true
	}
	r.refill(now)
	pause := max(maxRatePause, time.Duration(float64(time.Second)/r.perSecond))
	if now-r.lastStart >= pause {
		return true
	}
	return r.tokens >= 1 && float64(r.startedInSpan(now)) < r.perSecond*rateSpan.Seconds()
}

// start records that a call starts.
func (r *rateLimit) start(now time.Duration) {
	r.advance(now)
	r.started[r.newest%int64(rateBins)]++
	r.inWindow++
	r.lastStart = now
	if r.perSecond > 0 {
		r.refill(now)
		r.tokens--
	}
}

// advance clears the bins between the newest one and now.
func (r *rateLimit) advance(now time.Duration) {
	bin := int64(now / rateBin)
	if bin-r.newest >= int64(rateBins) {
		r.started, r.newest = [rateBins]int{}, bin
	}
	for r.newest < bin {
		r.newest++
		r.started[r.newest%int64(rateBins)] = 0
	}
}

func (r *rateLimit) startedInSpan(now time.Duration) (n int) {
	r.advance(now)
	for _, k := range r.started {
		n += k
	}
	return n
}

// next returns the earliest time after the last refill at which a call may be allowed.
func (r *rateLimit) next() time.Duration {
	if r.tokens >= 1 {
		return r.at + rateBin
	}
	return r.at + time.Duration((1-r.tokens)/r.perSecond*float64(time.Second)) + time.Millisecond
}

// endWindow returns the fraction of the rate that the window used and whether the rate
// made the gate refuse calls.
func (r *rateLimit) endWindow(length time.Duration) (used float64, exceeded bool) {
	if r.perSecond > 0 {
		used = float64(r.inWindow) / (r.perSecond * length.Seconds())
	}
	exceeded = r.refused > 0
	r.refused, r.inWindow = 0, 0
	return used, exceeded
}
