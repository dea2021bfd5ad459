package faults

import (
	"context"
	"time"

	"peardrift/bench/standin/client"
	"peardrift/bench/standin/platform"
	"peardrift/internal/status"
)

// Symptom: reads fail while the platform is down, or a publish runs without a
// claim, or never comes to an end.
// Events: the platform breaks every connection for seconds.
// Cause: something of the running fleet waits for the platform.
func platformDown(ctx context.Context, l *Lab) (Row, error) {
	return l.outage(ctx, platform.Faults{Down: true})
}

// Symptom: as above. Events: the platform answers after two seconds.
func platformSlow(ctx context.Context, l *Lab) (Row, error) {
	return l.outage(ctx, platform.Faults{DelayMS: 2000})
}

// Symptom: a publish runs twice, or is never run. Events: every second write of
// the platform takes effect and its answer is lost.
func answersLost(ctx context.Context, l *Lab) (Row, error) {
	return l.outage(ctx, platform.Faults{LoseAnswerEvery: 2})
}

// outage plays a fault of the platform, and holds that nothing but publishes
// suffers.
func (l *Lab) outage(ctx context.Context, f platform.Faults) (Row, error) {
	ld := l.begin(ctx, l.entries("feed"), classes(rate))
	row, err := ld.play(ctx, func() error { return l.faults(f) }, pause(ctx, 3*time.Second),
		func() error { return l.faults(platform.Faults{}) })
	if end := ld.end(ctx); err == nil {
		err = end
	}
	if err == nil {
		err = ld.unharmed("read", "write")
	}
	return row, err
}

// unharmed holds that all requests of classes completed.
func (ld *load) unharmed(classes ...string) error {
	for mark, as := range ld.attempts {
		a := as[len(as)-1]
		if gaveUp(as) {
			continue
		}
		for _, c := range classes {
			if a.Class == c && a.Result != client.Completed {
				return status.New(CodeBroken, "%s: %s (%s, %v)", mark, a.Result, a.Code, a.Err)
			}
		}
	}
	return nil
}

// Symptom: a node that starts during an outage serves nothing until it is over,
// or serves by no configuration or an old one.
// Events: the platform is down; a node starts anew, with nothing kept; its
// settings name peers. Cause: the way to peers and sets leads over the platform.
func startInOutage(ctx context.Context, l *Lab) (Row, error) {
	h := l.host("archive", 2)
	return l.play(ctx, l.entries("feed"), func() error {
		if err := l.faults(platform.Faults{Down: true}); err != nil {
			return err
		}
		l.killNode(h)
		return firstOf(l.startNode(ctx, h), l.whole(ctx))
	}, func() error {
		s, err := h.Status()
		if err == nil && s.Versions["lab"] != l.version {
			err = status.New(CodeBroken, "version %d in force, %d was accepted", s.Versions["lab"], l.version)
		}
		return err
	}, func() error { return l.faults(platform.Faults{}) })
}

// Symptom: what each failure alone leaves whole is lost by both.
// Events: the platform goes down, then a node and a target of another host die,
// and come back while it is still down.
// Cause: recovery from the one needs what the other has taken.
func outageAndDeaths(ctx context.Context, l *Lab) (Row, error) {
	a, n := l.host("archive", 2), l.host("notices", 2)
	return l.play(ctx, l.entries("feed"), func() error {
		if err := l.faults(platform.Faults{Down: true}); err != nil {
			return err
		}
		l.killNode(n)
		a.Target.Kill()
		return nil
	}, func() error {
		return firstOf(l.Fleet.StartTarget(a), l.startNode(ctx, n), l.whole(ctx))
	}, func() error { return l.faults(platform.Faults{}) })
}
