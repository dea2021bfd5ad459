package faults

import (
	"context"
	"fmt"
	"os"
	"time"

	"peardrift/bench/harness"
	"peardrift/bench/standin/client"
	"peardrift/internal/status"
)

// stopTimeout exceeds the longest graceful stop that the nodes' settings allow.
const stopTimeout = 40 * time.Second

// drainTimeout is the time after which a draining target may get no new work.
const drainTimeout = 4 * time.Second

// nodeDrained drains a node while the target's health endpoint keeps reporting healthy.
// It guards against a draining target that keeps getting work, because callers rely on
// health checks or the drain does not reach all of them.
func nodeDrained(ctx context.Context, l *Lab) (Row, error) {
	return l.playDrain(ctx, func(*harness.Host) {})
}

// nodeDrainedThenKilled guards against the same failure when the node is killed right after
// it announced the drain, so that nothing at the target can refuse calls.
func nodeDrainedThenKilled(ctx context.Context, l *Lab) (Row, error) {
	return l.playDrain(ctx, l.killNode)
}

// playDrain drains a host of archive, calls afterDrain, and checks that its target gets no new
// work after drainTimeout.
func (l *Lab) playDrain(ctx context.Context, afterDrain func(*harness.Host)) (Row, error) {
	h := l.host("archive", 1) // drainHost
	var drainedAt, last time.Time
	row, err := l.play(ctx, l.callerURLs("feed"), func() error {
		if err := l.awaitRuns(ctx, h); err != nil {
			return err
		}
		drainedAt = time.Now()
		err := harness.PostControl("http://"+h.Addr.Ops+"/drain", nil)
		afterDrain(h)
		return err
	}, func() (err error) {
		last, err = l.checkNoNewWork(ctx, h)
		return err
	}, func() error {
		l.killNode(h)
		return firstError(l.startNode(ctx, h), l.awaitAllReady(ctx))
	})
	row.Note = fmt.Sprintf("last run began %v after the drain", max(0, last.Sub(drainedAt)).Round(time.Millisecond))
	return row, err
}

// awaitRuns waits until a host's target has started 20 more runs.
func (l *Lab) awaitRuns(ctx context.Context, h *harness.Host) error {
	const runs = 20
	before, err := h.Counters()
	if err != nil {
		return err
	}
	return await(ctx, h.Name+" receives requests", func() bool {
		now, err := h.Counters()
		return err == nil && now.Started >= before.Started+runs
	})
}

// checkNoNewWork checks that a target gets no new work after drainTimeout and returns when
// its last run began.
func (l *Lab) checkNoNewWork(ctx context.Context, h *harness.Host) (last time.Time, err error) {
	if err := pause(ctx, drainTimeout)(); err != nil {
		return last, err
	}
	before, err := h.Counters()
	if err != nil {
		return last, err
	}
	if err := pause(ctx, time.Second)(); err != nil {
		return last, err
	}
	after, err := h.Counters()
	if err != nil {
		return last, err
	}
	if n := after.Started - before.Started; n > 0 {
		return last, status.New(CodeGuaranteeViolated, "%s started %d runs more than %v after its drain", h.Name, n, drainTimeout)
	}
	file, err := os.Stat(l.Fleet.RunsFile(h))
	if err != nil {
		return last, status.Wrap(harness.CodeHarness, err, "stat the run log")
	}
	return file.ModTime(), nil
}

// nodeStopsFirst stops a node with long uploads and short calls in flight, then its
// target. It guards against a planned stop that aborts requests, because the node
// stops before its work is done or before other nodes know.
func nodeStopsFirst(ctx context.Context, l *Lab) (Row, error) {
	row, err := l.playStop(ctx, func(h *harness.Host) []*harness.Process { return []*harness.Process{h.Node, h.Target} })
	if err == nil && row.Incomplete[client.Failed] > 0 {
		err = status.New(CodeGuaranteeViolated, "a planned stop failed %d requests", row.Incomplete[client.Failed])
	}
	return row, err
}

// targetStopsFirst guards against the same failure when the target stops first: it
// drains, and its node stops after it has exited. Requests that the target itself
// rejects in between may fail, which is a known outcome; unknown ones are not allowed.
func targetStopsFirst(ctx context.Context, l *Lab) (Row, error) {
	return l.playStop(ctx, func(h *harness.Host) []*harness.Process { return []*harness.Process{h.Target, h.Node} })
}

// playStop stops the processes of a host one after the other under load with long
// uploads. It checks that each exits by itself and that no request has an unknown
// outcome.
func (l *Lab) playStop(ctx context.Context, order func(*harness.Host) []*harness.Process) (Row, error) {
	h := l.host("archive", 2)
	mixWithUploads := append(classes(arrivalRate), client.Class{
		Name: "upload", Method: "POST", Host: "archive.lab", Path: "/uploads", Body: 4 << 20, Workers: 4, Timeout: stopTimeout,
	})
	ld := l.startLoad(ctx, l.callerURLs("feed"), mixWithUploads)
	row, err := ld.play(ctx, func() error {
		return firstError(l.awaitRuns(ctx, h), stopInOrder(order(h)))
	}, nil, func() error {
		return firstError(l.Fleet.StartTarget(h), l.startNode(ctx, h), l.awaitAllReady(ctx))
	})
	if end := ld.finish(ctx); err == nil {
		err = end
	}
	if err == nil && row.Incomplete[client.Unknown] > 0 {
		err = status.New(CodeGuaranteeViolated, "a planned stop left %d requests with an unknown outcome", row.Incomplete[client.Unknown])
	}
	row.Note = fmt.Sprintf("%d uploads whole, %d refused", ld.count("upload", client.Completed), ld.count("upload", client.Refused))
	return row, err
}

// stopInOrder stops processes one by one, each after the previous one has exited.
func stopInOrder(ps []*harness.Process) error {
	for _, p := range ps {
		if !p.Stop(stopTimeout) {
			return status.New(CodeGuaranteeViolated, "%s did not exit by itself within %v", p.Name, stopTimeout)
		}
		if p.ExitCode() != 0 {
			return status.New(CodeGuaranteeViolated, "%s exited with code %d", p.Name, p.ExitCode())
		}
	}
	return nil
}

// count returns the number of requests of a class whose last attempt had result r.
func (ld *load) count(class string, r client.Result) (n int) {
	for _, as := range ld.attempts {
		if a := as[len(as)-1]; a.Class == class && a.Result == r {
			n++
		}
	}
	return n
}

// slowdownFactor makes archive's targets take 0.6 s per request, about twice what they can
// sustain under the load.
const slowdownFactor = 300

// stopInOverload slows the last service of the call chains until it is overloaded and
// stops the node of one of its targets. It guards against a planned stop that aborts
// requests or never finishes, because the node works through its queue first or drops
// it without a reply.
func stopInOverload(ctx context.Context, l *Lab) (Row, error) {
	h := l.host("archive", 2)
	ld := l.startLoad(ctx, l.callerURLs("feed"), classes(arrivalRate))
	row, err := ld.play(ctx, func() error {
		err := l.setSlowdown(slowdownFactor)
		return firstError(err, ld.await(ctx, "requests are refused for overload", overloaded), stopInOrder([]*harness.Process{h.Node}))
	}, nil, func() error {
		return firstError(l.setSlowdown(1), l.startNode(ctx, h), l.awaitAllReady(ctx))
	})
	if end := ld.finish(ctx); err == nil {
		err = end
	}
	return row, err
}

func overloaded(as map[string][]client.Attempt) bool {
	for _, tries := range as {
		if tries[len(tries)-1].Code == string(status.CodeOverloaded) {
			return true
		}
	}
	return false
}

// setSlowdown sets the slowdown factor of archive's targets.
func (l *Lab) setSlowdown(factor float64) error {
	for n := range 2 {
		url := "http://" + l.host("archive", n+1).Addr.Target + "/control/slow"
		if err := harness.PostControl(url, map[string]float64{"factor": factor}); err != nil {
			return err
		}
	}
	return nil
}
