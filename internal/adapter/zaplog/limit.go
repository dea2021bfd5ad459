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
	// sampleInterval is the period in which repeats of a message are counted.
	sampleInterval = time.Second
	// A message is sampled once it exceeds PerSecond/sampleFirstDivisor.
	sampleFirstDivisor = 4
	// sampleThereafter is the number of further repeats per logged line.
	sampleThereafter = 100
	// burst/errorReserveDivisor tokens are reserved for lines of level error.
	errorReserveDivisor = 4
	// reportDelay is the time from the first drop to the log line with the counts.
	reportDelay = time.Second
)

// limitedCore is a core that limits the rate of all lines together. Each refusal
// may log a line, so without the limit logging would take CPU time in an overload
// and goodput would fall as the log level gets more detailed.
type limitedCore struct {
	zapcore.Core
	*limiter
}

// limiter is the state shared by a core and the cores derived from it by With.
type limiter struct {
	limit   *rate.Limiter
	reserve float64
	base    zapcore.Core
	output  *queue

	sampled, rateLimited atomic.Uint64 // lines dropped since the start
	reportPending        atomic.Bool   // a report is scheduled
	stopped              atomic.Bool
	timer                *time.Timer // calls report

	reportMu sync.Mutex
}

func newLimitedCore(base zapcore.Core, perSecond int, out *queue) limitedCore {
	c := limitedCore{Core: base, limiter: &limiter{
		limit:   rate.NewLimiter(rate.Limit(perSecond), perSecond),
		reserve: float64(perSecond) / errorReserveDivisor,
		base:    base,
		output:  out,
	}}
	c.timer = time.AfterFunc(reportDelay, c.report)
	out.onDrop = c.scheduleReport
	return c
}

// withSampling returns the core with repeats of one message sampled.
func (c limitedCore) withSampling(perSecond int) zapcore.Core {
	hook := func(_ zapcore.Entry, d zapcore.SamplingDecision) {
		if d&zapcore.LogDropped != 0 {
			c.drop(&c.limiter.sampled)
		}
	}
	first := max(perSecond/sampleFirstDivisor, 1)
	return zapcore.NewSamplerWithOptions(c, sampleInterval, first, sampleThereafter, zapcore.SamplerHook(hook))
}

// With implements zapcore.Core.
func (c limitedCore) With(fields []zapcore.Field) zapcore.Core {
	return limitedCore{Core: c.Core.With(fields), limiter: c.limiter}
}

// Check implements zapcore.Core.
func (c limitedCore) Check(e zapcore.Entry, ce *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if !c.Enabled(e.Level) {
		return ce
	}
	if !c.allow(e) {
		c.drop(&c.rateLimited)
		return ce
	}
	return ce.AddCore(e, c)
}

func (l *limiter) allow(e zapcore.Entry) bool {
	if e.Level < zapcore.ErrorLevel && l.limit.TokensAt(e.Time) <= l.reserve {
		return false
	}
	return l.limit.AllowN(e.Time, 1)
}

// drop counts a dropped line and schedules a report.
func (l *limiter) drop(count *atomic.Uint64) {
	count.Add(1)
	l.scheduleReport()
}

// scheduleReport schedules a log line with the counts after reportDelay, unless
// one is pending.
func (l *limiter) scheduleReport() {
	if l.reportPending.Load() || l.reportPending.Swap(true) || l.stopped.Load() {
		return
	}
	l.timer.Reset(reportDelay)
}

// report logs the drop counts if lines were dropped since the last report. The
// report bypasses sampling and the rate limit, but not the output queue. Counts
// are totals since the start: if the queue drops the report itself, that
// schedules the next one and no drop goes unreported.
func (l *limiter) report() {
	l.reportMu.Lock()
	defer l.reportMu.Unlock()
	if !l.reportPending.Swap(false) {
		return
	}
	e := zapcore.Entry{Level: zapcore.WarnLevel, Time: time.Now(), Message: "log lines dropped"}
	_ = l.base.Write(e, []zapcore.Field{
		zap.Uint64("sampled_total", l.sampled.Load()),
		zap.Uint64("over_rate_total", l.rateLimited.Load()),
		zap.Uint64("lost_total", l.output.dropped.Load()),
	}) // the queue never fails, it counts drops
}

// stop logs a final report if one is pending; later drops are only counted.
func (l *limiter) stop() {
	l.stopped.Store(true)
	l.timer.Stop()
	l.report()
}
