package faults

import (
	"context"
	"fmt"
	"time"

	"peardrift/bench/standin/client"
	"peardrift/bench/standin/platform"
	"peardrift/internal/faultproxy"
	"peardrift/internal/status"
)

// lostAnswers and healthy are states of the platform.
var (
	lostAnswers = platform.Faults{LoseAnswerEvery: 2}
	healthy     platform.Faults
)

// Symptom: a publish runs twice, or is told "not run" though it ran.
// Events: the node of a target dies with claims under way, and the platform goes
// down at the same moment, so that nobody can look them up.
// Cause: a repeat takes what it can't look up for what didn't happen.
func nodeKilledInOutage(ctx context.Context, l *Lab) (Row, error) {
	h := l.host("notices", 1)
	return l.play(ctx, l.entries("feed"), func() error {
		if err := l.worked(ctx, h); err != nil {
			return err
		}
		l.killNode(h)
		return l.faults(platform.Faults{Down: true})
	}, pause(ctx, 2*time.Second), func() error {
		return firstOf(l.faults(healthy), l.startNode(ctx, h), l.whole(ctx))
	})
}

// Symptom: calls hang, though one target of the service is well.
// Events: the connections to one node of a service go silent, and the node of its
// other target dies. Cause: each is got over by way of the other.
func silentAndKilled(ctx context.Context, l *Lab) (Row, error) {
	silent, dead := l.host("archive", 1), l.host("archive", 2)
	return l.play(ctx, l.entries("feed"), func() error {
		l.Links[silent.Name].Break(faultproxy.Blackhole)
		l.killNode(dead)
		return nil
	}, pause(ctx, 2*time.Second), func() error {
		l.Links[silent.Name].CloseSilenced()
		return firstOf(l.startNode(ctx, dead), l.whole(ctx))
	})
}

// Symptom: goodput doesn't come back after a slowdown, or calls hang.
// Events: the last service of the chains is overloaded, and the connections to one
// of its targets go silent. Cause: slow calls and lost ones look alike, and each is
// taken for the other.
func silentInOverload(ctx context.Context, l *Lab) (Row, error) {
	ld := l.begin(ctx, l.entries("feed"), classes(rate))
	row, err := ld.play(ctx, func() error {
		err := l.slow(slowdown)
		return firstOf(err, ld.await(ctx, "requests are refused for overload", overloaded),
			post("http://"+l.host("archive", 1).Addr.Target+"/control/silence", nil))
	}, pause(ctx, 2*time.Second), func() error { return l.slow(1) })
	if end := ld.end(ctx); err == nil {
		err = end
	}
	return row, err
}

// Symptom: target after target dies, or a page that all read is refused for long.
// Events: copies of a request that crashes its target come through all nodes at the
// same moment, several times; others read the same page as before.
// Cause: none of the copies waits for what became of the others.
func manyCopies(ctx context.Context, l *Lab) (Row, error) {
	// See internal/core/suspect: three, and what was in flight at the third and at
	// the trial that follows, one at each target.
	most := int64(3 + 2*2)
	row, n, err := l.crashing(ctx, func(ctx context.Context) error {
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
	if err == nil && (n < 1 || n > most) {
		err = status.New(CodeBroken, "copies at once crashed %d targets", n)
	}
	row.Note = fmt.Sprintf("6 times 20 copies, %d crashes in all", n)
	return row, err
}

// sendCopies sends copies of the crashing request at once through all nodes.
func (l *Lab) sendCopies(ctx context.Context, seed, copies int) error {
	urls := append(l.entries("notices"), l.entries("archive")...)
	_, err := client.Run(ctx, client.Config{
		URLs: urls, Seed: uint64(seed), Duration: time.Hour,
		Classes: []client.Class{{Name: crashMark, Host: "feed.lab", Path: l.crashPath(), Workers: copies, Requests: 1}},
	})
	return err
}

// Symptom: a target that leaves gets work again, or crashes go on.
// Events: a node of a service announces its leave; a request that crashes targets
// is sent again and again; the leaving target dies of it and is started again.
// Cause: a target that comes back up looks like one that takes work.
func crashInDrain(ctx context.Context, l *Lab) (Row, error) {
	h := l.host("feed", 1)
	var late error
	row, n, err := l.crashing(ctx, func(ctx context.Context) error {
		if err := post("http://"+h.Addr.Ops+"/drain", nil); err != nil {
			return err
		}
		if err := l.resendCrash(ctx); err != nil {
			return err
		}
		if _, err := l.noNewWork(ctx, h); err != nil {
			late = err
		}
		l.killNode(h)
		return l.startNode(ctx, h)
	})
	if err == nil && n > maxCrashes {
		err = status.New(CodeBroken, "one request crashed %d targets", n)
	}
	row.Note = fmt.Sprintf("sent %d times, %d crashes in all", resends, n)
	return row, firstOf(err, late)
}
