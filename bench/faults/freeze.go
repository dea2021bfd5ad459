package faults

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"peardrift/bench/harness"
	"peardrift/internal/status"
)

// Symptom: after a long freeze a node goes on as if no time had passed: it runs a
// publish that its caller has long sent again elsewhere, follows an old set for
// good, or counts as dead for good though it serves.
// Events: a node is frozen until the others hold it for dead; meanwhile a set is
// accepted and in force at all others; the node is resumed.
// Cause: what was known before the freeze is taken for the present.
func frozenTillDead(ctx context.Context, l *Lab) (Row, error) {
	h := l.host("notices", 1)
	var stale time.Duration
	row, err := l.play(ctx, l.entries("feed"), func() error {
		h.Node.Signal(syscall.SIGSTOP)
		return await(ctx, "the others hold the node for dead", func() bool { return l.holdDead(h) })
	}, func() error { return l.nextSet(ctx, h) }, func() error {
		resumed := time.Now()
		h.Node.Signal(syscall.SIGCONT)
		if err := l.inForce(ctx); err != nil {
			return err
		}
		stale = time.Since(resumed)
		return l.whole(ctx)
	})
	row.Note = fmt.Sprintf("followed the new set %v after it was resumed", stale.Round(time.Millisecond))
	return row, err
}

// holdDead reports whether all other nodes hold a host's node for dead.
func (l *Lab) holdDead(gone *harness.Host) bool {
	for _, h := range l.Fleet.Hosts {
		if h == gone {
			continue
		}
		s, err := h.Status()
		if err != nil || s.Members["alive"] != len(l.Fleet.Hosts)-1 || s.Members["suspect"] > 0 {
			return false
		}
	}
	return true
}

// nextSet has a new set accepted, and in force at all nodes but one.
func (l *Lab) nextSet(ctx context.Context, but *harness.Host) error {
	dir, err := l.setOf(49)
	if err != nil {
		return err
	}
	if err := l.submit(ctx, dir, l.version); err != nil {
		return err
	}
	for _, h := range l.Fleet.Hosts {
		if h == but {
			continue
		}
		if err := l.follows(ctx, h); err != nil {
			return err
		}
	}
	return nil
}

// Symptom: a publish runs twice, or is told wrongly.
// Events: every second write of the platform takes effect and its answer is lost;
// a node with claims under way is frozen for longer than publishes may take, while
// their callers send them again through others.
// Cause: the holder that wakes takes its lost write for written, or for not.
func answersLostAndFrozen(ctx context.Context, l *Lab) (Row, error) {
	h := l.host("notices", 1)
	return l.play(ctx, l.entries("feed"), func() error {
		if err := l.faults(lostAnswers); err != nil {
			return err
		}
		if err := l.worked(ctx, h); err != nil {
			return err
		}
		h.Node.Signal(syscall.SIGSTOP)
		return nil
	}, pause(ctx, publishDeadline+time.Second), func() error {
		h.Node.Signal(syscall.SIGCONT)
		return firstOf(l.faults(healthy), l.whole(ctx))
	})
}

// publishDeadline is that of the publish class in configSet.
const publishDeadline = 3 * time.Second

// Symptom: two operators both hold that their set won, or an operator who was told
// nothing finds another set in force than the one that won.
// Events: several operators submit a set on the same base while the platform breaks
// every connection, or loses every second write's answer; it comes back.
// Cause: an answer that was lost is taken for a yes or a no.
func operatorsInOutage(ctx context.Context, l *Lab) (Row, error) {
	return l.play(ctx, l.entries("feed"), nil, func() error {
		if err := l.faults(lostAnswers); err != nil {
			return err
		}
		codes, err := l.submitTogether(ctx, 60)
		if err != nil {
			return err
		}
		if err := l.faults(healthy); err != nil {
			return err
		}
		return l.judgeOperators(ctx, codes)
	}, func() error { return l.whole(ctx) })
}

// judgeOperators holds what several operators were told, on the same base, against
// the set that is accepted.
func (l *Lab) judgeOperators(ctx context.Context, codes []int) error {
	won, lost := 0, 0
	for _, code := range codes {
		switch code {
		case 0:
			won++
		case exitConflict:
			lost++
		}
	}
	if won > 1 {
		return status.New(CodeBroken, "%d operators were told that they won: exit codes %v", won, codes)
	}
	// The next set settles it: it is refused on the old base if one of them won.
	dir, err := l.setOf(48)
	if err != nil {
		return err
	}
	err = l.submit(ctx, dir, l.version)
	if err == nil && won+lost > 0 {
		return status.New(CodeBroken, "nothing was accepted, but operators were told so: exit codes %v", codes)
	}
	if err != nil {
		l.version++
	}
	return l.inForce(ctx)
}
