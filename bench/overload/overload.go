package overload

import (
	"context"

	"peardrift/bench/replay"
	"peardrift/internal/status"
)

// Outcome is a case on processes, beside what the replay makes of it.
type Outcome struct {
	Case            *Case
	Nodes, Straight *Measured // nil: not run
	// Replayed and Uncontrolled are the replay's results of the same trace: with
	// the parts that a node runs (levels are asked at the entry only), and
	// without control.
	Replayed, Uncontrolled *replay.Result
}

// Predict returns what the replay makes of a case; no process runs.
func Predict(c *Case) (*Outcome, error) {
	o := &Outcome{Case: c}
	var err error
	if o.Replayed, err = c.replay(nodePolicy); err != nil {
		return nil, err
	}
	o.Uncontrolled, err = c.replay(noControl)
	return o, err
}

// Play plays a case through nodes and then, if straight, at targets without
// nodes.
func (l *Lab) Play(ctx context.Context, straight bool) (*Outcome, error) {
	o, err := Predict(l.Case)
	if err != nil {
		return nil, err
	}
	if o.Nodes, err = l.one(ctx, true); err != nil || !straight {
		return o, err
	}
	o.Straight, err = l.one(ctx, false)
	return o, err
}

// The replay's policies that stand beside the processes.
const (
	nodePolicy = "early-at-entry"
	noControl  = "none"
)

func (c *Case) replay(policy string) (*replay.Result, error) {
	p, ok := replay.PolicyFor(policy)
	if !ok {
		return nil, status.New(CodeOverload, "the replay has no policy %q", policy)
	}
	return replay.Run(c.Dep, c.Trace, p, c.Trace.Header.Seed), nil
}

func (l *Lab) one(ctx context.Context, nodes bool) (*Measured, error) {
	p, err := l.play(ctx, nodes)
	if err != nil {
		return nil, err
	}
	return l.measure(p)
}
