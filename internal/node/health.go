package node

import (
	"context"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"

	"peardrift/internal/dataplane"
	"peardrift/internal/settings"
)

// health asks the own target whether it takes calls.
//
// The endpoint lags and lies, so its word alone changes little: calls that fail
// tell their callers sooner. It decides only whether the node takes calls at
// all: at the start, when nobody has called yet, and for a target that drains
// or has died.
type health struct {
	set    settings.Target
	client dataplane.Transport
	report func(up bool)
	shed   chan struct{} // the target has just turned a call away; room for one
}

func newHealth(set settings.Target, client dataplane.Transport, report func(up bool)) *health {
	return &health{set: set, client: client, report: report, shed: make(chan struct{}, 1)}
}

// downAfter is how many checks must fail in a row before the target counts as
// down, so that one that is merely slow to answer under load isn't taken out.
const downAfter = 3

// shedPause is the least time between checks that calls turned away bring about:
// an overloaded target sheds hundreds a second.
const shedPause = 100 * time.Millisecond

// verdict is what one check says.
type verdict int

const (
	healthy verdict = iota
	silent          // no answer, or not in time
	refuses         // the endpoint itself says that the target takes no calls
)

// hint makes a check due soon. Called from traffic goroutines; it never blocks.
func (h *health) hint() {
	select {
	case h.shed <- struct{}{}:
	default:
	}
}

// run checks until ctx ends.
//
// A target that drains turns calls away, and its endpoint says so as well. With
// the endpoint alone, which may lie for a moment, such a target would get calls
// and fail them until three checks have failed; with the calls alone, one that is
// overloaded would be taken out. Both together are enough at once.
func (h *health) run(ctx context.Context) {
	tick := time.NewTicker(h.set.HealthPeriod)
	defer tick.Stop()
	for failed, due, hinted := 0, true, false; ; {
		switch v := h.check(ctx); {
		case v == healthy:
			failed = 0
			h.report(true)
		case hinted && v == refuses:
			failed = downAfter
		case due:
			failed++
		}
		if failed >= downAfter {
			h.report(false)
		}
		checked := time.Now()
		due, hinted = false, false
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			due = true
		case <-h.shed:
			hinted = true
			if !wait(ctx, shedPause-time.Since(checked)) {
				return
			}
			due = ready(tick.C)
		}
	}
}

// ready takes a tick that has come. A target that sheds always has hints, and a select
// between both would put the periodic check off at random.
func ready(tick <-chan time.Time) bool {
	select {
	case <-tick:
		return true
	default:
		return false
	}
}

// firstHealthError is the least status by which a target says that it takes no
// calls.
const firstHealthError = 500

func (h *health) check(ctx context.Context) verdict {
	if h.set.HealthPath == "" {
		if h.client.Reachable(h.set.Address) {
			return healthy
		}
		return silent
	}
	ctx, cancel := context.WithTimeout(ctx, h.set.HealthPeriod)
	defer cancel()
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	req.Header.SetMethod("GET")
	req.Header.SetRequestURI(h.set.HealthPath)
	req.Header.SetHost(h.set.Address)
	res, err := h.client.Do(ctx, h.set.Address, req, resp)
	if err != nil {
		return silent
	}
	if res.Stream != nil {
		_ = res.Stream.Close()
	}
	if resp.StatusCode() >= firstHealthError {
		return refuses
	}
	return healthy
}
