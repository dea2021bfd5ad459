package node

import (
	"time"

	"go.uber.org/zap"

	"peardrift/internal/adapter/zaplog"
	"peardrift/internal/core/admission"
)

// overloadEndDelay is how long the admission level must stay 0 until an overload counts
// as over. The level reaches 0 many times during one overload; a log line for each would
// hide the start and the end.
const overloadEndDelay = 10 * time.Second

// overloadDetector detects the start and end of an overload for the log.
type overloadDetector struct {
	active      bool
	lastRefusal time.Duration // when the level was last above 0
}

// observe records whether the level is above 0 now.
func (o *overloadDetector) observe(now time.Duration, refusing bool) (started, ended bool) {
	if refusing {
		o.lastRefusal = now
		started = !o.active
		o.active = true
		return started, false
	}
	ended = o.active && now-o.lastRefusal >= overloadEndDelay
	o.active = o.active && !ended
	return false, ended
}

// gateReportInterval is the time between two log lines on a gate that refuses calls.
const gateReportInterval = time.Second

// gateReporter sums up for the log what a gate has decided since its last report.
type gateReporter struct {
	at   time.Duration
	last admission.Stats
}

// report returns the log fields of the last interval; nil if it isn't over or if the gate
// neither has a level nor refused calls.
func (r *gateReporter) report(now time.Duration, st admission.Stats) []zap.Field {
	if now-r.at < gateReportInterval {
		return nil
	}
	last := r.last
	r.at, r.last = now, st
	if st.Level == 0 && st.Overloaded == last.Overloaded && st.DeadlineShort == last.DeadlineShort {
		return nil
	}
	used := 0.0
	if usable := st.Usable - last.Usable; usable > 0 {
		used = float64(st.Busy-last.Busy) / float64(usable)
	}
	return []zap.Field{
		zaplog.Level(st.Level), zap.Int("limit", st.Limit), zap.Float64("used", used),
		zap.Float64("demand", st.Demand), zap.Int("queued", st.Queued),
		zap.Uint64("admitted", st.Admitted-last.Admitted),
		zap.Uint64("overloaded", st.Overloaded-last.Overloaded),
		zap.Uint64("deadline_too_short", st.DeadlineShort-last.DeadlineShort),
	}
}
