package faults

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"peardrift/bench/harness"
	"peardrift/internal/status"
)

// frozenUntilDead freezes a node until the others declare it dead, rolls out a new set
// to them, and resumes the node. It guards against a resumed node that acts on stale
// state: it runs a publish that the caller has already retried elsewhere, keeps the
// old set, or stays declared dead although it serves.
func frozenUntilDead(ctx context.Context, l *Lab) (Row, error) {
	h := l.host("notices", 1)
	var stale time.Duration
	row, err := l.play(ctx, l.callerURLs("feed"), func() error {
		h.Node.Signal(syscall.SIGSTOP)
		return await(ctx, "the other nodes declare the node dead", func() bool { return l.declaredDead(h) })
	}, func() error { return l.rollOutExcept(ctx, h) }, func() error {
		resumed := time.Now()
		h.Node.Signal(syscall.SIGCONT)
		if err := l.awaitVersion(ctx); err != nil {
			return err
		}
		stale = time.Since(resumed)
		return l.awaitAllReady(ctx)
	})
	row.Note = fmt.Sprintf("followed the new set %v after it was resumed", stale.Round(time.Millisecond))
	return row, err
}

// declaredDead reports whether all other nodes have declared a host's node dead.
func (l *Lab) declaredDead(dead *harness.Host) bool {
	for _, h := range l.Fleet.Hosts {
		if h == dead {
			continue
		}
		s, err := h.Status()
		if err != nil || s.Members["alive"] != len(l.Fleet.Hosts)-1 || s.Members["suspect"] > 0 {
			return false
		}
	}
	return true
}

// rollOutExcept submits a new set and waits until it is in force at all nodes but one.
func (l *Lab) rollOutExcept(ctx context.Context, except *harness.Host) error {
	dir, err := l.writeSetWithSlots(49)
	if err != nil {
		return err
	}
	if err := l.submitSet(ctx, dir, l.version); err != nil {
		return err
	}
	for _, h := range l.Fleet.Hosts {
		if h == except {
			continue
		}
		if err := l.awaitVersionAt(ctx, h); err != nil {
			return err
		}
	}
	return nil
}

// answersLostAndFrozen drops the response of every second platform write and freezes a
// node with claims in flight past the publish deadline, while callers retry through
// other nodes. It guards against a publish that runs twice or gets a wrong outcome
// because the resumed claim holder assumes that its unacknowledged write succeeded,
// or that it failed.
func answersLostAndFrozen(ctx context.Context, l *Lab) (Row, error) {
	h := l.host("notices", 1)
	return l.play(ctx, l.callerURLs("feed"), func() error {
		if err := l.setPlatformFaults(lostAnswers); err != nil {
			return err
		}
		if err := l.awaitRuns(ctx, h); err != nil {
			return err
		}
		h.Node.Signal(syscall.SIGSTOP)
		return nil
	}, pause(ctx, publishDeadline+time.Second), func() error {
		h.Node.Signal(syscall.SIGCONT)
		return firstError(l.setPlatformFaults(noFaults), l.awaitAllReady(ctx))
	})
}

// publishDeadline is the deadline of the publish class in configSet.
const publishDeadline = 3 * time.Second

// operatorsInOutage has several operators submit a set on the same base while the
// platform loses the response of every second write, then ends the fault. It guards
// against two operators being told that their set was accepted, or a set in force
// other than the accepted one, because a lost response is taken as success or failure.
func operatorsInOutage(ctx context.Context, l *Lab) (Row, error) {
	return l.play(ctx, l.callerURLs("feed"), nil, func() error {
		if err := l.setPlatformFaults(lostAnswers); err != nil {
			return err
		}
		codes, err := l.submitTogether(ctx, 60)
		if err != nil {
			return err
		}
		if err := l.setPlatformFaults(noFaults); err != nil {
			return err
		}
		return l.checkOperators(ctx, codes)
	}, func() error { return l.awaitAllReady(ctx) })
}

// checkOperators compares the exit codes of operators that submitted on the same base
// with the set that was accepted.
func (l *Lab) checkOperators(ctx context.Context, codes []int) error {
	accepted, conflicts := 0, 0
	for _, code := range codes {
		switch code {
		case 0:
			accepted++
		case exitConflict:
			conflicts++
		}
	}
	if accepted > 1 {
		return status.New(CodeGuaranteeViolated, "%d operators were told that their set was accepted: exit codes %v", accepted, codes)
	}
	// A further set on the old base is refused exactly if one of theirs was accepted.
	dir, err := l.writeSetWithSlots(48)
	if err != nil {
		return err
	}
	err = l.submitSet(ctx, dir, l.version)
	if err == nil && accepted+conflicts > 0 {
		return status.New(CodeGuaranteeViolated, "no set was accepted, but an operator was told of success or a conflict: exit codes %v", codes)
	}
	if err != nil {
		l.version++
	}
	return l.awaitVersion(ctx)
}
