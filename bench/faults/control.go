package faults

import (
	"context"
	"strconv"

	"peardrift/bench/harness"
	"peardrift/bench/standin/platform"
)

// setPlatformFaults sets the faults that the platform stand-in injects.
func (l *Lab) setPlatformFaults(f platform.Faults) error {
	return harness.PostControl(l.Fleet.URL+"/control/faults", f)
}

// applySet submits the lab's configuration set on a base version and returns the
// error of the command-line tool.
func (l *Lab) applySet(ctx context.Context, base int64) error {
	return l.submitSet(ctx, l.set, base)
}

func (l *Lab) submitSet(ctx context.Context, dir string, base int64) error {
	_, _, err := l.Fleet.RunTool(ctx, "apply", "--base", strconv.FormatInt(base, 10),
		"--node", l.Fleet.Hosts[0].Addr.Control, dir)
	if err == nil {
		l.version = base + 1
	}
	return err
}
