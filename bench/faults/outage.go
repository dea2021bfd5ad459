package faults

import (
	"context"
	"time"

	"peardrift/bench/standin/client"
	"peardrift/bench/standin/platform"
	"peardrift/internal/status"
)

// platformDown makes the platform break every connection for 3 s. It guards against
// reads that fail, and publishes that run without a claim or never finish, because
// part of the running fleet waits for the platform.
func platformDown(ctx context.Context, l *Lab) (Row, error) {
	return l.outage(ctx, platform.Faults{Down: true})
}

// platformSlow guards against the same failures when the platform answers after 2 s.
func platformSlow(ctx context.Context, l *Lab) (Row, error) {
	return l.outage(ctx, platform.Faults{DelayMS: 2000})
}

// answersLost makes every second platform write take effect without a response. It
// guards against a publish that runs twice or never.
func answersLost(ctx context.Context, l *Lab) (Row, error) {
	return l.outage(ctx, platform.Faults{DropReplyEvery: 2})
}

// outage injects a platform fault for 3 s and checks that it affects publishes only.
func (l *Lab) outage(ctx context.Context, f platform.Faults) (Row, error) {
	ld := l.startLoad(ctx, l.callerURLs("feed"), classes(arrivalRate))
	row, err := ld.play(ctx, func() error { return l.setPlatformFaults(f) }, pause(ctx, 3*time.Second),
		func() error { return l.setPlatformFaults(platform.Faults{}) })
	if end := ld.finish(ctx); err == nil {
		err = end
	}
	if err == nil {
		err = ld.checkCompleted("read", "write")
	}
	return row, err
}

// checkCompleted checks that all requests of the given classes completed.
func (ld *load) checkCompleted(classes ...string) error {
	for mark, as := range ld.attempts {
		a := as[len(as)-1]
		if canceledAtEnd(as) {
			continue
		}
		for _, c := range classes {
			if a.Class == c && a.Result != client.Completed {
				return status.New(CodeGuaranteeViolated, "%s: %s (%s, %v)", mark, a.Result, a.Code, a.Err)
			}
		}
	}
	return nil
}

// startInOutage starts a node without stored state while the platform is down; its
// settings name peers. It guards against a node that does not serve until the outage
// ends, or serves with no or an outdated configuration, because it finds peers and
// sets only through the platform.
func startInOutage(ctx context.Context, l *Lab) (Row, error) {
	h := l.host("archive", 2)
	return l.play(ctx, l.callerURLs("feed"), func() error {
		if err := l.setPlatformFaults(platform.Faults{Down: true}); err != nil {
			return err
		}
		l.killNode(h)
		return firstError(l.startNode(ctx, h), l.awaitAllReady(ctx))
	}, func() error {
		s, err := h.Status()
		if err == nil && s.Versions["lab"] != l.version {
			err = status.New(CodeGuaranteeViolated, "version %d is in force, but %d was accepted", s.Versions["lab"], l.version)
		}
		return err
	}, func() error { return l.setPlatformFaults(platform.Faults{}) })
}

// outageAndDeaths takes the platform down, kills a node and the target of another host,
// and restarts both during the outage. It guards against a recovery from one failure
// that depends on what the other failure made unavailable.
func outageAndDeaths(ctx context.Context, l *Lab) (Row, error) {
	a, n := l.host("archive", 2), l.host("notices", 2)
	return l.play(ctx, l.callerURLs("feed"), func() error {
		if err := l.setPlatformFaults(platform.Faults{Down: true}); err != nil {
			return err
		}
		l.killNode(n)
		a.Target.Kill()
		return nil
	}, func() error {
		return firstError(l.Fleet.StartTarget(a), l.startNode(ctx, n), l.awaitAllReady(ctx))
	}, func() error { return l.setPlatformFaults(platform.Faults{}) })
}
