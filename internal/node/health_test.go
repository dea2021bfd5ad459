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

// endpoint is a target's health endpoint that answers with a status, or not at
// all while the status is 0.
type endpoint struct {
	status, checks atomic.Int64
}

func (e *endpoint) Do(_ context.Context, _ string, _ *protocol.Request, resp *protocol.Response) (hertzhttp.Result, error) {
	e.checks.Add(1)
	now := int(e.status.Load())
	if now == 0 {
		return hertzhttp.Result{}, status.New(status.CodeConnectionLost, "no answer")
	}
	resp.SetStatusCode(now)
	return hertzhttp.Result{Sent: true}, nil
}

func (e *endpoint) Reachable(string) bool { return true }

// Symptom: a planned stop fails calls for three seconds. Events: the target
// drains, turns calls away and says so at its health endpoint; its node sends it
// further calls. Cause: three checks have to fail, whatever else speaks for it.
func TestTargetThatTurnsCallsAwayAndSaysSoIsDownAtOnce(t *testing.T) {
	const (
		period = time.Second
		length = 5 * period
		never  = length
	)
	for _, tt := range []struct {
		name        string
		status      int64
		sheds       bool
		after, most time.Duration // when the target counts as down
	}{
		{"drains", 503, true, 0, shedPause},
		{"is overloaded", 200, true, never, never},
		{"is overloaded and its endpoint silent", 0, true, 2 * period, 3*period + shedPause},
		{"says so and takes calls", 503, false, 2 * period, 3 * period},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ep := &endpoint{}
				ep.status.Store(200)
				ctx, cancel := context.WithCancel(t.Context())
				downs := make(chan time.Time, 1)
				h := newHealth(settings.Target{HealthPath: "/healthz", HealthPeriod: period}, ep, func(up bool) {
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
				began, checks := time.Now(), ep.checks.Load()
				ep.status.Store(tt.status)
				for time.Since(began) < length {
					if tt.sheds {
						h.hint()
					}
					time.Sleep(period / 40)
				}
				cancel()
				<-done
				is.True(ep.checks.Load()-checks <= int64(length/period+length/shedPause)+1)
				down := never
				if len(downs) > 0 {
					down = (<-downs).Sub(began)
				}
				is.True(down >= tt.after)
				is.True(down <= tt.most)
			})
		})
	}
}
