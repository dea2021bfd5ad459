package faults

import (
	"context"
	"fmt"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"peardrift/bench/harness"
	"peardrift/internal/status"
)

// operators is the number of operators that submit a set concurrently.
const operators = 4

// exitConflict is the exit code of the tool for a set on an outdated base.
const exitConflict = 4

// twoOperators has several operators submit a set on the same base concurrently. It
// guards against two operators being told of success, or nodes following different
// sets, because a set is accepted without comparing its base with the accepted version.
func twoOperators(ctx context.Context, l *Lab) (Row, error) {
	codes, err := l.submitTogether(ctx, 40)
	if err != nil {
		return Row{}, err
	}
	accepted, conflicts := 0, 0
	for _, code := range codes {
		switch code {
		case 0:
			accepted++
		case exitConflict:
			conflicts++
		}
	}
	if accepted != 1 || conflicts != operators-1 {
		return Row{}, status.New(CodeGuaranteeViolated, "%d of %d operators succeeded, %d were told of a conflict: exit codes %v", accepted, operators, conflicts, codes)
	}
	l.version++
	at := time.Now()
	if err := l.awaitVersion(ctx); err != nil {
		return Row{}, err
	}
	took := time.Since(at).Round(time.Millisecond)
	return Row{Note: fmt.Sprintf("1 of %d won, in force on all nodes %v after the last was told", operators, took)}, nil
}

// submitTogether has several operators submit a set on the same base, each with a
// different number of slots from slots on, and returns the exit codes of their tools.
// No number may equal that of the set in force: resubmitting an unchanged set is
// reported as accepted.
func (l *Lab) submitTogether(ctx context.Context, slots int) ([]int, error) {
	codes := make([]int, operators)
	var wg sync.WaitGroup
	for i := range operators {
		dir, err := l.writeSetWithSlots(slots + i)
		if err != nil {
			return nil, err
		}
		wg.Go(func() {
			_, codes[i], _ = l.Fleet.RunTool(ctx, "apply", "--base", strconv.FormatInt(l.version, 10), dir)
		})
	}
	wg.Wait()
	return codes, nil
}

// writeSetWithSlots writes the lab's set with the given number of slots for its first
// service and returns its directory.
func (l *Lab) writeSetWithSlots(slots int) (dir string, err error) {
	dir = filepath.Join(l.Fleet.Dir, fmt.Sprint("set-", slots))
	return dir, l.writeSet(dir, strings.Replace(configSet, "slots: 50", "slots: "+strconv.Itoa(slots), 1))
}

// awaitVersion waits until the last accepted version is in force at all nodes.
func (l *Lab) awaitVersion(ctx context.Context) error {
	for _, h := range l.Fleet.Hosts {
		if err := l.awaitVersionAt(ctx, h); err != nil {
			return err
		}
	}
	return nil
}

// awaitVersionAt waits until the last accepted version is in force at a host's node.
func (l *Lab) awaitVersionAt(ctx context.Context, h *harness.Host) error {
	return await(ctx, h.Name+" has the set in force", func() bool {
		s, err := h.Status()
		return err == nil && s.Versions["lab"] == l.version
	})
}
