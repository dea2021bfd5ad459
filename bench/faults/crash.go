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

// maxCrashes is how many targets a request may crash before it is refused, and
// a further one that may have been under way (see internal/core/suspect).
const maxCrashes = 3 + 1

// resends is how often the caller of the crashing request sends it.
const (
	resends     = 40
	resendEvery = 100 * time.Millisecond
)

// Symptom: one request takes down target after target.
// Events: it crashes each target that runs it; its caller sends it again at
// once through other nodes; the targets are started again.
// Cause: each node counts on its own, or the request is known only by the
// identity of one attempt.
func crashes(ctx context.Context, l *Lab) (Row, error) {
	row, n, err := l.crashing(ctx, l.resendCrash)
	if err == nil && (n < 1 || n > maxCrashes) {
		err = status.New(CodeBroken, "one request crashed %d targets", n)
	}
	row.Note = fmt.Sprintf("sent %d times, %d crashes in all", resends, n)
	return row, err
}

// resendCrash sends the crashing request again and again.
func (l *Lab) resendCrash(ctx context.Context) error {
	for n := range resends {
		if err := firstOf(l.sendCrash(ctx, n), pause(ctx, resendEvery)()); err != nil {
			return err
		}
	}
	return nil
}

// crashing plays what sends crashing requests, while feed's targets are started
// again each time they die, and returns how often they did.
func (l *Lab) crashing(ctx context.Context, send func(context.Context) error) (Row, int64, error) {
	var died atomic.Int64
	watch, stop := context.WithCancel(ctx)
	var wg sync.WaitGroup
	feeds := []*harness.Host{l.host("feed", 1), l.host("feed", 2)}
	faults := make(chan error, len(feeds))
	for _, h := range feeds {
		wg.Go(func() { faults <- l.revive(watch, h, &died) })
	}
	row, err := l.play(ctx, l.entries("notices"), func() error { return send(ctx) }, nil, func() error { return l.whole(ctx) })
	stop()
	wg.Wait()
	for range feeds {
		err = firstOf(err, <-faults)
	}
	return row, died.Load(), err
}

// crashPath is that of the load's crashing request, another one for each scenario:
// the nodes remember those of earlier ones.
func (l *Lab) crashPath() string { return fmt.Sprintf("/feed/special-%d", l.seed) }

// sendCrash sends the crashing request once, through another node each time. It
// is the same request each time, but for the mark, which the product ignores.
func (l *Lab) sendCrash(ctx context.Context, n int) error {
	urls := l.entries("notices")
	_, err := client.Run(ctx, client.Config{
		URLs: urls[n%len(urls):][:1], Seed: uint64(n), Duration: time.Hour,
		Classes: []client.Class{{Name: crashMark, Host: "feed.lab", Path: l.crashPath(), Workers: 1, Requests: 1}},
	})
	return err
}

// revive starts a target again each time it ends, as a supervisor does.
func (l *Lab) revive(ctx context.Context, h *harness.Host, died *atomic.Int64) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(poll):
		}
		if !h.Target.Ended() {
			continue
		}
		died.Add(1)
		if err := l.Fleet.StartTarget(h); err != nil {
			return err
		}
	}
}
