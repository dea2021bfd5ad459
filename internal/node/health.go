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
}

// downAfter is how many checks must fail in a row before the target counts as
// down, so that one that is merely slow to answer under load isn't taken out.
const downAfter = 3

// run checks until ctx ends.
func (h *health) run(ctx context.Context) {
	tick := time.NewTicker(h.set.HealthPeriod)
	defer tick.Stop()
	for failed := 0; ; {
		if h.check(ctx) {
			failed = 0
			h.report(true)
		} else if failed++; failed >= downAfter {
			h.report(false)
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// firstHealthError is the least status by which a target says that it takes no
// calls.
const firstHealthError = 500

func (h *health) check(ctx context.Context) bool {
	if h.set.HealthPath == "" {
		return h.client.Reachable(h.set.Address)
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
		return false
	}
	if res.Stream != nil {
		_ = res.Stream.Close()
	}
	return resp.StatusCode() < firstHealthError
}
