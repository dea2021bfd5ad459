package node

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/matryer/is"

	"peardrift/internal/adapter/hertzhttp"
	"peardrift/internal/settings"
	"peardrift/internal/status"
)

// stubEndpoint is a health endpoint that answers with a status, or not at all while the
// status is 0.
type stubEndpoint struct {
	status, checks atomic.Int64
}

func (e *stubEndpoint) Do(_ context.Context, _ string, _ *protocol.Request, resp *protocol.Response) (hertzhttp.Result, error) {
	e.checks.Add(1)
	now := int(e.status.Load())
	if now == 0 {
		return hertzhttp.Result{}, status.New(status.CodeConnectionLost, "no answer")
	}
	resp.SetStatusCode(now)
	return hertzhttp.Result{Sent: true}, nil
}

func (e *stubEndpoint) Reachable(string) bool { return true }

// Guards against a planned stop that fails calls for three seconds: the target drains,
// rejects calls and reports unhealthy, but its node sends calls until three checks fail.
func TestSheddingTargetWithUnhealthyEndpointIsDownAtOnce(t *testing.T) {
	const (
		period = time.Second
		length = 5 * period
		never  = length
	)
	for _, tt := range []struct {
		name             string
		status           int64
		sheds            bool
		earliest, latest time.Duration // bounds of the time at which the target counts as down
	}{
		{"draining", 503, true, 0, minHintInterval},
		{"overloaded", 200, true, never, never},
		{"overloaded, health endpoint unresponsive", 0, true, 2 * period, 3*period + minHintInterval},
		{"reports unavailable but accepts calls", 503, false, 2 * period, 3 * period},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ep := &stubEndpoint{}
				ep.status.Store(200)
				ctx, cancel := context.WithCancel(t.Context())
				downs := make(chan time.Time, 1)
				h := newHealthChecker(settings.Target{HealthPath: "/healthz", HealthPeriod: period}, ep, func(up bool) {
					if !up && len(downs) == 0 {
						downs <- time.Now()
					}
				})
				done := make(chan struct{})
				go func() {
					defer close(done)
					h.run(ctx)
				}()
				time.Sleep(period + period/2)
				start, checks := time.Now(), ep.checks.Load()
				ep.status.Store(tt.status)
				for time.Since(start) < length {
					if tt.sheds {
						h.requestCheck()
					}
					time.Sleep(period / 40)
				}
				cancel()
				<-done
				is.True(ep.checks.Load()-checks <= int64(length/period+length/minHintInterval)+1)
				down := never
				if len(downs) > 0 {
					down = (<-downs).Sub(start)
				}
				is.True(down >= tt.earliest)
				is.True(down <= tt.latest)
			})
		})
	}
}
