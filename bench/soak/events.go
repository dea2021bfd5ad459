package soak

import (
	"context"
	"errors"
	"slices"
	"syscall"
	"time"

	"peardrift/bench/harness"
	"peardrift/bench/standin/platform"
	"peardrift/internal/faultproxy"
)

// play plays an event and repairs it.
func (f *fleet) play(ctx context.Context, e Event) error {
	time.Sleep(e.At)
	repair, err := f.begin(ctx, e)
	time.Sleep(e.For)
	return errors.Join(err, repair())
}

// begin begins an event and returns its repair.
func (f *fleet) begin(ctx context.Context, e Event) (repair func() error, err error) {
	i := slices.IndexFunc(f.Hosts, func(h *harness.Host) bool { return h.Name == e.Host })
	switch e.Kind {
	case Reject:
		set := func(share float64) error {
			return f.PostToTargets(e.Host, "reject", map[string]float64{"share": share})
		}
		return func() error { return set(0) }, set(0.5)
	case Slow:
		set := func(factor float64) error {
			return f.PostToTargets(e.Host, "slow", map[string]float64{"factor": factor})
		}
		return func() error { return set(1) }, set(slowFactor)
	case Outage:
		set := func(down bool) error {
			return harness.PostControl(f.URL+"/control/faults", platform.Faults{Down: down})
		}
		return func() error { return set(false) }, set(true)
	case Remove:
		_ = f.apply(ctx, false) // may fail: the platform may be down
		return func() error { _ = f.apply(ctx, true); return nil }, nil
	case Terminate:
		return func() error { return f.StartNode(f.Hosts[i]) }, f.Hosts[i].Node.StopCleanly(stopTimeout)
	case Crash:
		f.Hosts[i].Node.Kill()
		return func() error { return f.StartNode(f.Hosts[i]) }, nil
	case Suspend:
		f.Hosts[i].Node.Signal(syscall.SIGSTOP)
		return func() error { f.Hosts[i].Node.Signal(syscall.SIGCONT); return nil }, nil
	case Reset:
		f.data[e.Host].Break(faultproxy.Reset)
		f.callers[e.Host].Break(faultproxy.Reset)
	case Cut:
		f.data[e.Host].Break(faultproxy.Kill)
		return f.data[e.Host].Resume, nil
	}
	return func() error { return nil }, nil // the others are part of the load
}
