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

// operators is how many submit a set at the same time.
const operators = 4

// exitConflict is the tool's exit code for a set on an old base.
const exitConflict = 4

// Symptom: two operators both believe that their set is in force, or nodes
// follow different ones.
// Events: several submit a set on the same base at the same time.
// Cause: a set is accepted without a look at what is accepted.
func twoOperators(ctx context.Context, l *Lab) (Row, error) {
	codes, err := l.submitTogether(ctx, 40)
	if err != nil {
		return Row{}, err
	}
	won, lost := 0, 0
	for _, code := range codes {
		switch code {
		case 0:
			won++
		case exitConflict:
			lost++
		}
	}
	if won != 1 || lost != operators-1 {
		return Row{}, status.New(CodeBroken, "%d of %d operators won, %d were told of a conflict: exit codes %v", won, operators, lost, codes)
	}
	l.version++
	at := time.Now()
	if err := l.inForce(ctx); err != nil {
		return Row{}, err
	}
	took := time.Since(at).Round(time.Millisecond)
	return Row{Note: fmt.Sprintf("1 of %d won, in force on all nodes %v after the last was told", operators, took)}, nil
}

// submitTogether has several operators submit a set on the same base, each with
// another number of slots, and returns the exit codes that their tools ended with.
// None may be that of a set in force: to submit that one changes nothing, and is
// told as accepted.
func (l *Lab) submitTogether(ctx context.Context, slots int) ([]int, error) {
	codes := make([]int, operators)
	var wg sync.WaitGroup
	for i := range operators {
		dir, err := l.setOf(slots + i)
		if err != nil {
			return nil, err
		}
		wg.Go(func() {
			_, codes[i], _ = l.Fleet.Tool(ctx, "apply", "--base", strconv.FormatInt(l.version, 10), dir)
		})
	}
	wg.Wait()
	return codes, nil
}

// setOf writes the lab's set with another number of slots of its first service.
func (l *Lab) setOf(slots int) (dir string, err error) {
	dir = filepath.Join(l.Fleet.Dir, fmt.Sprint("set-", slots))
	return dir, l.writeSet(dir, strings.Replace(configSet, "slots: 50", "slots: "+strconv.Itoa(slots), 1))
}

// inForce waits until all nodes follow the version accepted last.
func (l *Lab) inForce(ctx context.Context) error {
	for _, h := range l.Fleet.Hosts {
		if err := l.follows(ctx, h); err != nil {
			return err
		}
	}
	return nil
}

// follows waits until a host's node follows the version accepted last.
func (l *Lab) follows(ctx context.Context, h *harness.Host) error {
	return await(ctx, h.Name+" follows the set", func() bool {
		s, err := h.Status()
		return err == nil && s.Versions["lab"] == l.version
	})
}
