package zaplog

import (
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"golang.org/x/time/rate"
)

const (
	// sampleTick is the span in which repeats of a message are counted.
	sampleTick = time.Second
	// firstShare of PerSecond is what one message may take before it is sampled.
	firstShare = 4
	// thereafter is how many further repeats count for one line.
	thereafter = 100
	// reserveShare of the burst is left to lines of level error.
	reserveShare = 4
	// reportAfter is how long after a first drop the counts are logged.
	reportAfter = time.Second
)

// bound is a core that holds all lines together to a rate. Without it an
// overload, in which each refusal may log a line, would spend processor time
// on logs just when there is none; one would notice goodput fall with the
// level of detail.
type bound struct {
	zapcore.Core
	*bounds
}

// bounds is shared by a core and those derived from it by With.
type bounds struct {
	limit   *rate.Limiter
	reserve float64
	base    zapcore.Core
	out     *queue

	sampled, overRate atomic.Uint64 // lines dropped since the start
	armed             atomic.Bool   // a report is due
	ended             atomic.Bool
	timer             *time.Timer // calls report

	reporting sync.Mutex
}

func newBound(base zapcore.Core, perSecond int, out *queue) bound {
	b := bound{Core: base, bounds: &bounds{
		limit:   rate.NewLimiter(rate.Limit(perSecond), perSecond),
		reserve: float64(perSecond) / reserveShare,
		base:    base,
		out:     out,
	}}
	b.timer = time.AfterFunc(reportAfter, b.report)
	out.onDrop = b.arm
	return b
}

// sampled returns the core with repeats of one message sampled.
func (b bound) sampled(perSecond int) zapcore.Core {
	hook := func(_ zapcore.Entry, d zapcore.SamplingDecision) {
		if d&zapcore.LogDropped != 0 {
			b.drop(&b.bounds.sampled)
		}
	}
	first := max(perSecond/firstShare, 1)
	return zapcore.NewSamplerWithOptions(b, sampleTick, first, thereafter, zapcore.SamplerHook(hook))
}

// With implements zapcore.Core.
func (b bound) With(fields []zapcore.Field) zapcore.Core {
	return bound{Core: b.Core.With(fields), bounds: b.bounds}
}

// Check implements zapcore.Core.
func (b bound) Check(e zapcore.Entry, ce *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if !b.Enabled(e.Level) {
		return ce
	}
	if !b.allow(e) {
		b.drop(&b.overRate)
		return ce
	}
	return ce.AddCore(e, b)
}

func (b *bounds) allow(e zapcore.Entry) bool {
	if e.Level < zapcore.ErrorLevel && b.limit.TokensAt(e.Time) <= b.reserve {
		return false
	}
	return b.limit.AllowN(e.Time, 1)
}

// drop counts a line and sees to it that the count is logged.
func (b *bounds) drop(count *atomic.Uint64) {
	count.Add(1)
	b.arm()
}

// arm sees to it that the counts are logged soon.
func (b *bounds) arm() {
	if b.armed.Load() || b.armed.Swap(true) || b.ended.Load() {
		return
	}
	b.timer.Reset(reportAfter)
}

// report logs, if lines were dropped since the last report, how many were
// since the start, past all bounds but the output's own. They are totals:
// should the output lose the report itself, that arms the next one, and nothing
// goes uncounted.
func (b *bounds) report() {
	b.reporting.Lock()
	defer b.reporting.Unlock()
	if !b.armed.Swap(false) {
		return
	}
	e := zapcore.Entry{Level: zapcore.WarnLevel, Time: time.Now(), Message: "log lines dropped"}
	_ = b.base.Write(e, []zapcore.Field{
		zap.Uint64("sampled_total", b.sampled.Load()),
		zap.Uint64("over_rate_total", b.overRate.Load()),
		zap.Uint64("lost_total", b.out.dropped.Load()),
	}) // the queue never fails, it counts
}

// stop makes a last report if one is due; later drops are only counted.
func (b *bounds) stop() {
	b.ended.Store(true)
	b.timer.Stop()
	b.report()
}
