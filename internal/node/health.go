package node

import (
	"context"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"

	"peardrift/internal/dataplane"
	"peardrift/internal/settings"
)

// healthChecker checks whether the own target accepts calls.
//
// A health endpoint lags and may be wrong, and failing calls tell their callers sooner.
// The checks therefore only decide whether the node accepts calls at all: at the start,
// before any call, and when the target drains or has died.
type healthChecker struct {
	cfg       settings.Target
	client    dataplane.Transport
	report    func(up bool)
	shedHints chan struct{} // signals that the target rejected a call; buffer of one
}

func newHealthChecker(cfg settings.Target, client dataplane.Transport, report func(up bool)) *healthChecker {
	return &healthChecker{cfg: cfg, client: client, report: report, shedHints: make(chan struct{}, 1)}
}

// failuresBeforeDown is the number of consecutive failed checks after which the target
// counts as down, so that a target that is merely slow under load isn't taken out.
const failuresBeforeDown = 3

// minHintInterval is the minimum time between checks that rejected calls trigger: an
// overloaded target rejects hundreds of calls per second.
const minHintInterval = 100 * time.Millisecond

// checkResult is the result of one check.
type checkResult int

const (
	healthy     checkResult = iota
	unreachable             // no answer, or none in time
	unhealthy               // the endpoint reports that the target accepts no calls
)

// requestCheck schedules a check soon. Traffic goroutines call it; it never blocks.
func (h *healthChecker) requestCheck() {
	select {
	case h.shedHints <- struct{}{}:
	default:
	}
}

// run checks until ctx ends.
//
// A draining target rejects calls, and its endpoint reports unhealthy. The endpoint alone
// may be wrong for a moment, so waiting for three failed checks would send a draining
// target calls that fail; rejected calls alone would take out an overloaded target. Both
// signals together mark the target down at once.
func (h *healthChecker) run(ctx context.Context) {
	tick := time.NewTicker(h.cfg.HealthPeriod)
	defer tick.Stop()
	for failed, due, hinted := 0, true, false; ; {
		switch v := h.check(ctx); {
		case v == healthy:
			failed = 0
			h.report(true)
		case hinted && v == unhealthy:
			failed = failuresBeforeDown
		case due:
			failed++
		}
		if failed >= failuresBeforeDown {
			h.report(false)
		}
		checked := time.Now()
		due, hinted = false, false
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			due = true
		case <-h.shedHints:
			hinted = true
			if !sleep(ctx, minHintInterval-time.Since(checked)) {
				return
			}
			due = tickPending(tick.C)
		}
	}
}

// tickPending consumes a tick that is already pending. A target that sheds load always has
// hints pending, and a select between the two would delay the periodic check at random.
func tickPending(tick <-chan time.Time) bool {
	select {
	case <-tick:
		return true
	default:
		return false
	}
}

// minUnhealthyStatus is the lowest HTTP status that reports an unhealthy target.
const minUnhealthyStatus = 500

func (h *healthChecker) check(ctx context.Context) checkResult {
	if h.cfg.HealthPath == "" {
		if h.client.Reachable(h.cfg.Address) {
			return healthy
		}
		return unreachable
	}
	ctx, cancel := context.WithTimeout(ctx, h.cfg.HealthPeriod)
	defer cancel()
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	req.Header.SetMethod("GET")
	req.Header.SetRequestURI(h.cfg.HealthPath)
	req.Header.SetHost(h.cfg.Address)
	res, err := h.client.Do(ctx, h.cfg.Address, req, resp)
	if err != nil {
		return unreachable
	}
	if res.Stream != nil {
		_ = res.Stream.Close()
	}
	if resp.StatusCode() >= minUnhealthyStatus {
		return unhealthy
	}
	return healthy
}
