package faults

import (
	"context"
	"net"
	"syscall"
	"time"

	"peardrift/bench/harness"
	"peardrift/internal/faultproxy"
)

// nodeKilled kills the node of one of two targets with calls in all stages. It guards
// against requests that fail for long, run twice, or are reported as not run, because
// callers keep calling the node or treat a broken connection as a refusal.
func nodeKilled(ctx context.Context, l *Lab) (Row, error) {
	a, n := l.host("archive", 1), l.host("notices", 1)
	return l.play(ctx, l.callerURLs("feed"), func() error {
		l.killNode(a)
		l.killNode(n)
		return nil
	}, pause(ctx, time.Second), func() error {
		return firstError(l.startNode(ctx, a), l.startNode(ctx, n), l.awaitAllReady(ctx))
	})
}

// nodeFrozen freezes nodes for longer than read and write deadlines and resumes them. It
// guards against the failures above, and against a publish claimed before the pause
// that runs after it although the caller has retried, because a paused claim holder
// does not notice the elapsed time.
func nodeFrozen(ctx context.Context, l *Lab) (Row, error) {
	a, n := l.host("archive", 1), l.host("notices", 1)
	return l.play(ctx, l.callerURLs("feed"), func() error {
		a.Node.Signal(syscall.SIGSTOP)
		n.Node.Signal(syscall.SIGSTOP)
		return nil
	}, pause(ctx, 3*time.Second), func() error {
		a.Node.Signal(syscall.SIGCONT)
		n.Node.Signal(syscall.SIGCONT)
		return l.awaitAllReady(ctx)
	})
}

// targetKilled kills targets with work in flight and restarts them. It guards against
// requests that fail long after the crash, or are blamed for it, because the node
// learns of a crash only from the health endpoint.
func targetKilled(ctx context.Context, l *Lab) (Row, error) {
	a, n := l.host("archive", 1), l.host("notices", 1)
	return l.play(ctx, l.callerURLs("feed"), func() error {
		a.Target.Kill()
		n.Target.Kill()
		return nil
	}, pause(ctx, time.Second), func() error {
		return firstError(l.Fleet.StartTarget(a), l.Fleet.StartTarget(n), l.awaitAllReady(ctx))
	})
}

// targetSilent silences the open connections to a target while new ones work. It guards
// against successive calls that hang until their deadline because idle connections
// that may be dead are reused.
func targetSilent(ctx context.Context, l *Lab) (Row, error) {
	return l.play(ctx, l.callerURLs("feed"), func() error {
		return harness.PostControl("http://"+l.host("archive", 1).Addr.Target+"/control/silence", nil)
	}, pause(ctx, 2*time.Second), nil)
}

// nodesSilent guards against the same failure on the open connections to two nodes.
func nodesSilent(ctx context.Context, l *Lab) (Row, error) {
	return l.play(ctx, l.callerURLs("feed"), func() error {
		l.Proxies[l.host("archive", 1).Name].Break(faultproxy.Blackhole)
		l.Proxies[l.host("notices", 1).Name].Break(faultproxy.Blackhole)
		return nil
	}, pause(ctx, 2*time.Second), func() error {
		l.Proxies[l.host("archive", 1).Name].CloseSilenced()
		l.Proxies[l.host("notices", 1).Name].CloseSilenced()
		return nil
	})
}

// killNode kills a host's node and makes its address refuse connections.
func (l *Lab) killNode(h *harness.Host) {
	h.Node.Kill()
	l.Proxies[h.Name].Break(faultproxy.Kill)
}

// startNode restarts a host's node and lets connections through its proxy again.
func (l *Lab) startNode(ctx context.Context, h *harness.Host) error {
	l.Proxies[h.Name].Break(faultproxy.Kill) // in case the node exited by itself
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
	return firstError(err, l.Proxies[h.Name].Resume())
}

// awaitAllReady waits until all nodes are ready and know each other.
func (l *Lab) awaitAllReady(ctx context.Context) error {
	for _, h := range l.Fleet.Hosts {
		if err := l.awaitReady(ctx, h); err != nil {
			return err
		}
	}
	return nil
}

// awaitReady waits until a host's node accepts calls for its target.
func (l *Lab) awaitReady(ctx context.Context, h *harness.Host) error {
	return await(ctx, h.Name+" accepts calls", func() bool {
		s, err := h.Status()
		return err == nil && s.Ready && s.Complete && !s.Leaving && s.Members["alive"] == len(l.Fleet.Hosts)
	})
}
