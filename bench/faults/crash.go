package faults

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"peardrift/bench/harness"
	"peardrift/bench/standin/client"
	"peardrift/internal/status"
)

// maxCrashes is the number of crashes after which a request is refused, plus one
// attempt that may already be in flight by then (see internal/core/suspect).
const maxCrashes = 3 + 1

// The caller sends the crashing request resends times, one every resendInterval.
const (
	resends        = 40
	resendInterval = 100 * time.Millisecond
)

// crashingRequest resends a request that crashes every target that runs it, through a
// different node each time, while the targets are restarted. It guards against one
// request crashing target after target, because nodes count crashes separately or
// identify the request by a single attempt.
func crashingRequest(ctx context.Context, l *Lab) (Row, error) {
	row, n, err := l.playCrashes(ctx, l.resendCrashingRequest)
	if err == nil && (n < 1 || n > maxCrashes) {
		err = status.New(CodeGuaranteeViolated, "one request crashed %d targets", n)
	}
	row.Note = fmt.Sprintf("sent %d times, %d crashes in all", resends, n)
	return row, err
}

// resendCrashingRequest sends the crashing request repeatedly.
func (l *Lab) resendCrashingRequest(ctx context.Context) error {
	for n := range resends {
		if err := firstError(l.sendCrashingRequest(ctx, n), pause(ctx, resendInterval)()); err != nil {
			return err
		}
	}
	return nil
}

// playCrashes runs send under load, restarts the targets of feed whenever they exit,
// and returns the number of exits.
func (l *Lab) playCrashes(ctx context.Context, send func(context.Context) error) (Row, int64, error) {
	var exits atomic.Int64
	reviveCtx, stop := context.WithCancel(ctx)
	var wg sync.WaitGroup
	feeds := []*harness.Host{l.host("feed", 1), l.host("feed", 2)}
	faults := make(chan error, len(feeds))
	for _, h := range feeds {
		wg.Go(func() { faults <- l.restartOnExit(reviveCtx, h, &exits) })
	}
	row, err := l.play(ctx, l.callerURLs("notices"), func() error { return send(ctx) }, nil, func() error { return l.awaitAllReady(ctx) })
	stop()
	wg.Wait()
	for range feeds {
		err = firstError(err, <-faults)
	}
	return row, exits.Load(), err
}

// crashPath returns the path of the crashing request. It differs per scenario
// because nodes remember the crashing requests of earlier scenarios.
func (l *Lab) crashPath() string { return fmt.Sprintf("/feed/special-%d", l.seed) }

// sendCrashingRequest sends the crashing request once, through the n-th node. All
// requests are identical except for the mark, which nodes ignore.
func (l *Lab) sendCrashingRequest(ctx context.Context, n int) error {
	urls := l.callerURLs("notices")
	_, err := client.Run(ctx, client.Config{
		URLs: urls[n%len(urls):][:1], Seed: uint64(n), Duration: time.Hour,
		Classes: []client.Class{{Name: crashMark, Host: "feed.lab", Path: l.crashPath(), Workers: 1, Requests: 1}},
	})
	return err
}

// restartOnExit restarts a target whenever it exits, as a process supervisor does.
func (l *Lab) restartOnExit(ctx context.Context, h *harness.Host, exits *atomic.Int64) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(pollInterval):
		}
		if !h.Target.Exited() {
			continue
		}
		exits.Add(1)
		if err := l.Fleet.StartTarget(h); err != nil {
			return err
		}
	}
}
