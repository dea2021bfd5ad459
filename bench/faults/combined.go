package faults

import (
	"context"
	"fmt"
	"time"

	"peardrift/bench/harness"
	"peardrift/bench/standin/client"
	"peardrift/bench/standin/platform"
	"peardrift/internal/faultproxy"
	"peardrift/internal/status"
)

// Fault settings of the platform.
var (
	lostAnswers = platform.Faults{DropReplyEvery: 2}
	noFaults    platform.Faults
)

// nodeKilledInOutage kills a node with claims in flight and takes the platform down at
// the same time, so that the claims can't be looked up. It guards against a publish
// that runs twice, or is reported as not run although it ran, because a retry treats a
// claim it can't read as absent.
func nodeKilledInOutage(ctx context.Context, l *Lab) (Row, error) {
	h := l.host("notices", 1)
	return l.play(ctx, l.callerURLs("feed"), func() error {
		if err := l.awaitRuns(ctx, h); err != nil {
			return err
		}
		l.killNode(h)
		return l.setPlatformFaults(platform.Faults{Down: true})
	}, pause(ctx, 2*time.Second), func() error {
		return firstError(l.setPlatformFaults(noFaults), l.startNode(ctx, h), l.awaitAllReady(ctx))
	})
}

// silentAndKilled silences the connections to one node of a service and kills the node
// of its other target. It guards against calls that hang because the failover for each
// fault relies on the other instance.
func silentAndKilled(ctx context.Context, l *Lab) (Row, error) {
	silent, dead := l.host("archive", 1), l.host("archive", 2)
	return l.play(ctx, l.callerURLs("feed"), func() error {
		l.Proxies[silent.Name].Break(faultproxy.Blackhole)
		l.killNode(dead)
		return nil
	}, pause(ctx, 2*time.Second), func() error {
		l.Proxies[silent.Name].CloseSilenced()
		return firstError(l.startNode(ctx, dead), l.awaitAllReady(ctx))
	})
}

// silentInOverload overloads the last service of the call chains and silences the
// connections to one of its targets. It guards against goodput that does not recover
// and calls that hang, because slow calls and lost ones are mistaken for each other.
func silentInOverload(ctx context.Context, l *Lab) (Row, error) {
	ld := l.startLoad(ctx, l.callerURLs("feed"), classes(arrivalRate))
	row, err := ld.play(ctx, func() error {
		err := l.setSlowdown(slowdownFactor)
		return firstError(err, ld.await(ctx, "requests are refused for overload", overloaded),
			harness.PostControl("http://"+l.host("archive", 1).Addr.Target+"/control/silence", nil))
	}, pause(ctx, 2*time.Second), func() error { return l.setSlowdown(1) })
	if end := ld.finish(ctx); err == nil {
		err = end
	}
	return row, err
}

// manyCopies sends bursts of identical crashing requests through all nodes at once,
// beside ordinary reads. It guards against crashes of target after target, or reads
// being refused for long, because no copy waits for the outcome of the others.
func manyCopies(ctx context.Context, l *Lab) (Row, error) {
	// Three crashes, plus one copy in flight at each of the two targets at the third
	// crash and again at the trial that follows (see internal/core/suspect).
	limit := int64(3 + 2*2)
	row, n, err := l.playCrashes(ctx, func(ctx context.Context) error {
		const bursts, copies = 6, 20
		for n := range bursts {
			if err := l.sendCopies(ctx, n, copies); err != nil {
				return err
			}
			if err := pause(ctx, 300*time.Millisecond)(); err != nil {
				return err
			}
		}
		return nil
	})
	if err == nil && (n < 1 || n > limit) {
		err = status.New(CodeGuaranteeViolated, "concurrent copies of a request crashed %d targets", n)
	}
	row.Note = fmt.Sprintf("6 times 20 copies, %d crashes in all", n)
	return row, err
}

// sendCopies sends copies of the crashing request concurrently through the nodes of
// notices and archive.
func (l *Lab) sendCopies(ctx context.Context, seed, copies int) error {
	urls := append(l.callerURLs("notices"), l.callerURLs("archive")...)
	_, err := client.Run(ctx, client.Config{
		URLs: urls, Seed: uint64(seed), Duration: time.Hour,
		Classes: []client.Class{{Name: crashMark, Host: "feed.lab", Path: l.crashPath(), Workers: copies, Requests: 1}},
	})
	return err
}

// crashInDrain drains a node and repeatedly sends a crashing request; the draining
// target crashes and is restarted. It guards against a draining target that gets new
// work, and further crashes, because a restarted target looks available.
func crashInDrain(ctx context.Context, l *Lab) (Row, error) {
	h := l.host("feed", 1)
	var workErr error
	row, n, err := l.playCrashes(ctx, func(ctx context.Context) error {
		if err := harness.PostControl("http://"+h.Addr.Ops+"/drain", nil); err != nil {
			return err
		}
		if err := l.resendCrashingRequest(ctx); err != nil {
			return err
		}
		if _, err := l.checkNoNewWork(ctx, h); err != nil {
			workErr = err
		}
		l.killNode(h)
		return l.startNode(ctx, h)
	})
	if err == nil && n > maxCrashes {
		err = status.New(CodeGuaranteeViolated, "one request crashed %d targets", n)
	}
	row.Note = fmt.Sprintf("sent %d times, %d crashes in all", resends, n)
	return row, firstError(err, workErr)
}
