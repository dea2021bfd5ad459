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
	var died atomic.Int64
	watch, stop := context.WithCancel(ctx)
	var wg sync.WaitGroup
	faults := make(chan error, len(l.Fleet.Hosts))
	for _, h := range []*harness.Host{l.host("feed", 1), l.host("feed", 2)} {
		wg.Go(func() { faults <- l.revive(watch, h, &died) })
	}
	row, err := l.playCrash(ctx)
	stop()
	wg.Wait()
	if n := died.Load(); err == nil && (n < 1 || n > maxCrashes) {
		err = status.New(CodeBroken, "one request crashed %d targets", n)
	}
	for range 2 {
		err = firstOf(err, <-faults)
	}
	row.Note = fmt.Sprintf("sent %d times, %d crashes in all", resends, died.Load())
	return row, err
}

func (l *Lab) playCrash(ctx context.Context) (Row, error) {
	return l.play(ctx, l.entries("notices"), func() error {
		for n := range resends {
			if err := l.sendCrash(ctx, n); err != nil {
				return err
			}
			if err := pause(ctx, resendEvery)(); err != nil {
				return err
			}
		}
		return nil
	}, nil, func() error { return l.whole(ctx) })
}

// sendCrash sends the crashing request once, through another node each time. It
// is the same request each time, but for the mark, which the product ignores.
func (l *Lab) sendCrash(ctx context.Context, n int) error {
	urls := l.entries("notices")
	_, err := client.Run(ctx, client.Config{
		URLs: urls[n%len(urls):][:1], Seed: uint64(n), Duration: time.Hour,
		Classes: []client.Class{{Name: crashMark, Host: "feed.lab", Path: "/feed/special", Workers: 1, Requests: 1}},
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
