package faults

import (
	"context"
	"net"
	"syscall"
	"time"

	"peardrift/bench/harness"
	"peardrift/internal/faultproxy"
)

// Symptom: requests are lost for long, run twice, or are said not to have run.
// Events: the node of one target of two is killed, with calls in all stages.
// Cause: callers go on calling it, or take a broken connection for a refusal.
func nodeKilled(ctx context.Context, l *Lab) (Row, error) {
	a, n := l.host("archive", 1), l.host("notices", 1)
	return l.play(ctx, l.entries("feed"), func() error {
		l.killNode(a)
		l.killNode(n)
		return nil
	}, pause(ctx, time.Second), func() error {
		return firstOf(l.startNode(ctx, a), l.startNode(ctx, n), l.whole(ctx))
	})
}

// Symptom: as above; or a publish that was claimed before the pause runs after
// it, though its caller sent it again meanwhile.
// Events: a node is frozen longer than its calls' deadlines, and resumed.
// Cause: a paused holder goes on as if no time had passed.
func nodeFrozen(ctx context.Context, l *Lab) (Row, error) {
	a, n := l.host("archive", 1), l.host("notices", 1)
	return l.play(ctx, l.entries("feed"), func() error {
		a.Node.Signal(syscall.SIGSTOP)
		n.Node.Signal(syscall.SIGSTOP)
		return nil
	}, pause(ctx, 3*time.Second), func() error {
		a.Node.Signal(syscall.SIGCONT)
		n.Node.Signal(syscall.SIGCONT)
		return l.whole(ctx)
	})
}

// Symptom: requests fail long after a target has died, or its node's other
// requests are blamed for the death.
// Events: targets are killed with work in flight, and started again.
// Cause: the node waits for the health endpoint to tell.
func targetKilled(ctx context.Context, l *Lab) (Row, error) {
	a, n := l.host("archive", 1), l.host("notices", 1)
	return l.play(ctx, l.entries("feed"), func() error {
		a.Target.Kill()
		n.Target.Kill()
		return nil
	}, pause(ctx, time.Second), func() error {
		return firstOf(l.Fleet.StartTarget(a), l.Fleet.StartTarget(n), l.whole(ctx))
	})
}

// Symptom: calls hang until their deadline, one after the other.
// Events: the open connections to a target go silent; new ones work.
// Cause: idle connections that may be dead carry further calls.
func targetSilent(ctx context.Context, l *Lab) (Row, error) {
	return l.play(ctx, l.entries("feed"), func() error {
		return post("http://"+l.host("archive", 1).Addr.Target+"/control/silence", nil)
	}, pause(ctx, 2*time.Second), nil)
}

// Symptom: as above. Events: the open connections to two nodes go silent.
func nodesSilent(ctx context.Context, l *Lab) (Row, error) {
	return l.play(ctx, l.entries("feed"), func() error {
		l.Links[l.host("archive", 1).Name].Break(faultproxy.Blackhole)
		l.Links[l.host("notices", 1).Name].Break(faultproxy.Blackhole)
		return nil
	}, pause(ctx, 2*time.Second), func() error {
		l.Links[l.host("archive", 1).Name].CloseSilenced()
		l.Links[l.host("notices", 1).Name].CloseSilenced()
		return nil
	})
}

// killNode kills a host's node; its address refuses connections from then on.
func (l *Lab) killNode(h *harness.Host) {
	h.Node.Kill()
	l.Links[h.Name].Break(faultproxy.Kill)
}

// startNode starts a host's node again and lets connections to it in.
func (l *Lab) startNode(ctx context.Context, h *harness.Host) error {
	l.Links[h.Name].Break(faultproxy.Kill) // of one that ended by itself
	if err := l.Fleet.StartNode(h); err != nil {
		return err
	}
	err := await(ctx, h.Name+" listens", func() bool {
		c, err := net.Dial("tcp", h.Addr.Nodes)
		if err == nil {
			_ = c.Close()
		}
		return err == nil
	})
	return firstOf(err, l.Links[h.Name].Resume())
}

// whole waits until all nodes take calls and know each other.
func (l *Lab) whole(ctx context.Context) error {
	for _, h := range l.Fleet.Hosts {
		if err := l.ready(ctx, h); err != nil {
			return err
		}
	}
	return nil
}

// ready waits until a host's node takes calls for its target.
func (l *Lab) ready(ctx context.Context, h *harness.Host) error {
	return await(ctx, h.Name+" takes calls", func() bool {
		s, err := h.Status()
		return err == nil && s.Ready && s.Complete && !s.Leaving && s.Members["alive"] == len(l.Fleet.Hosts)
	})
}
