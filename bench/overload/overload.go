package overload

import (
	"context"

	"peardrift/bench/replay"
	"peardrift/internal/status"
)

// Outcome holds the results of a case on processes and in the replay.
type Outcome struct {
	Case          *Case
	Nodes, Direct *Measured // nil if not run
	// Predicted and PredictedWithoutControl are the replay's results for the same
	// trace: with the controls that a node has (admission levels are checked at the
	// entry only), and without control.
	Predicted, PredictedWithoutControl *replay.Result
}

// Predict returns the replay's results of a case. It starts no process.
func Predict(c *Case) (*Outcome, error) {
	o := &Outcome{Case: c}
	var err error
	if o.Predicted, err = c.replay(nodePolicy); err != nil {
		return nil, err
	}
	o.PredictedWithoutControl, err = c.replay(noControl)
	return o, err
}

// Play runs a case through nodes and then, if direct is set, directly against
// targets without nodes.
func (l *Lab) Play(ctx context.Context, direct bool) (*Outcome, error) {
	o, err := Predict(l.Case)
	if err != nil {
		return nil, err
	}
	if o.Nodes, err = l.playOnce(ctx, true); err != nil || !direct {
		return o, err
	}
	o.Direct, err = l.playOnce(ctx, false)
	return o, err
}

// Policies of the replay that the processes are compared with.
const (
	nodePolicy = "early-at-entry"
	noControl  = "none"
)

func (c *Case) replay(policy string) (*replay.Result, error) {
	p, ok := replay.PolicyFor(policy)
	if !ok {
		return nil, status.New(CodeOverload, "the replay has no policy %q", policy)
	}
	return replay.Run(c.Deployment, c.Trace, p, c.Trace.Header.Seed), nil
}

func (l *Lab) playOnce(ctx context.Context, nodes bool) (*Measured, error) {
	p, err := l.play(ctx, nodes)
	if err != nil {
		return nil, err
	}
	return l.measure(p)
}
