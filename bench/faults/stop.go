package faults

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"peardrift/bench/harness"
	"peardrift/bench/standin/client"
	"peardrift/internal/status"
)

// grace is more than a graceful stop may take by the nodes' settings.
const grace = 40 * time.Second

// leaveTime is after how long a leaving target may get no new work.
const leaveTime = 4 * time.Second

// Symptom: a target that leaves goes on getting work.
// Events: a drain is announced at the node; the target's health endpoint goes on
// saying that all is well.
// Cause: callers go by health, or the word does not get to all of them.
func drained(ctx context.Context, l *Lab) (Row, error) {
	return l.leave(ctx, func(*harness.Host) {})
}

// Symptom: as above. Events: the node is killed as soon as it has announced the
// drain, so that nothing at the target itself can refuse any more.
func drainedThenKilled(ctx context.Context, l *Lab) (Row, error) {
	return l.leave(ctx, l.killNode)
}

// leave drains a host of archive, does then, and holds that after leaveTime its
// target gets no new work.
func (l *Lab) leave(ctx context.Context, then func(*harness.Host)) (Row, error) {
	h := l.host("archive", 1) // drainee
	var at, last time.Time
	row, err := l.play(ctx, l.entries("feed"), func() error {
		if err := l.worked(ctx, h); err != nil {
			return err
		}
		at = time.Now()
		err := post("http://"+h.Addr.Ops+"/drain", nil)
		then(h)
		return err
	}, func() (err error) {
		last, err = l.noNewWork(ctx, h)
		return err
	}, func() error {
		l.killNode(h)
		return firstOf(l.startNode(ctx, h), l.whole(ctx))
	})
	row.Note = fmt.Sprintf("last run began %v after the drain", max(0, last.Sub(at)).Round(time.Millisecond))
	return row, err
}

// worked waits until a host's target gets its share of the load.
func (l *Lab) worked(ctx context.Context, h *harness.Host) error {
	const runs = 20
	before, err := counters(h)
	if err != nil {
		return err
	}
	return await(ctx, h.Name+" gets work", func() bool {
		now, err := counters(h)
		return err == nil && now.Started >= before.Started+runs
	})
}

// noNewWork holds that a target gets no new work once leaveTime is over, and
// returns when its last run began.
func (l *Lab) noNewWork(ctx context.Context, h *harness.Host) (last time.Time, err error) {
	if err := pause(ctx, leaveTime)(); err != nil {
		return last, err
	}
	before, err := counters(h)
	if err != nil {
		return last, err
	}
	if err := pause(ctx, time.Second)(); err != nil {
		return last, err
	}
	after, err := counters(h)
	if err != nil {
		return last, err
	}
	if n := after.Started - before.Started; n > 0 {
		return last, status.New(CodeBroken, "%s began %d runs later than %v after its drain", h.Name, n, leaveTime)
	}
	file, err := os.Stat(filepath.Join(l.Fleet.Dir, h.Name+runsSuffix))
	if err != nil {
		return last, status.Wrap(harness.CodeHarness, err, "file of runs")
	}
	return file.ModTime(), nil
}

// Symptom: a planned stop breaks requests off.
// Events: a node with long uploads and short calls in flight is told to stop,
// then its target.
// Cause: it stops before its work is done, or before others know.
func nodeStopsFirst(ctx context.Context, l *Lab) (Row, error) {
	row, err := l.stop(ctx, func(h *harness.Host) []*harness.Process { return []*harness.Process{h.Node, h.Target} })
	if err == nil && row.Lost[client.Failed] > 0 {
		err = status.New(CodeBroken, "a planned stop failed %d requests", row.Lost[client.Failed])
	}
	return row, err
}

// Symptom: as above. Events: the target is told to stop first: it drains, and
// its node stops when it is through. What the target itself turns away in
// between has failed, which is known.
func targetStopsFirst(ctx context.Context, l *Lab) (Row, error) {
	return l.stop(ctx, func(h *harness.Host) []*harness.Process { return []*harness.Process{h.Target, h.Node} })
}

// stop stops the processes of a host one after the other, under load with long
// uploads, and holds that each ends by itself and that all calls were completed
// or refused.
func (l *Lab) stop(ctx context.Context, order func(*harness.Host) []*harness.Process) (Row, error) {
	h := l.host("archive", 2)
	mix := append(classes(rate), client.Class{
		Name: "upload", Method: "POST", Host: "archive.lab", Path: "/uploads", Body: 4 << 20, Workers: 4, Timeout: grace,
	})
	ld := l.begin(ctx, l.entries("feed"), mix)
	row, err := ld.play(ctx, func() error {
		return firstOf(l.worked(ctx, h), endInOrder(order(h)))
	}, nil, func() error {
		return firstOf(l.Fleet.StartTarget(h), l.startNode(ctx, h), l.whole(ctx))
	})
	if end := ld.end(ctx); err == nil {
		err = end
	}
	if err == nil && row.Lost[client.Unknown] > 0 {
		err = status.New(CodeBroken, "a planned stop left %d requests in doubt", row.Lost[client.Unknown])
	}
	row.Note = fmt.Sprintf("%d uploads whole, %d refused", ld.count("upload", client.Completed), ld.count("upload", client.Refused))
	return row, err
}

// endInOrder asks processes to stop, one when the other has ended.
func endInOrder(ps []*harness.Process) error {
	for _, p := range ps {
		if !p.Stop(grace) {
			return status.New(CodeBroken, "%s did not end by itself within %v", p.Name, grace)
		}
		if p.Exited() != 0 {
			return status.New(CodeBroken, "%s ended with code %d", p.Name, p.Exited())
		}
	}
	return nil
}

// count returns the requests of a class whose last attempt ended so.
func (ld *load) count(class string, r client.Result) (n int) {
	for _, as := range ld.attempts {
		if a := as[len(as)-1]; a.Class == class && a.Result == r {
			n++
		}
	}
	return n
}

// slowdown makes archive's targets take 0.6 s a request, which is some twice
// what the load leaves time for.
const slowdown = 300

// Symptom: a planned stop in overload breaks requests off, or never ends.
// Events: the last service of the chains slows down until it is overloaded; the
// node of one of its targets is told to stop.
// Cause: the queue is worked off before the stop, or dropped without a word.
func stopInOverload(ctx context.Context, l *Lab) (Row, error) {
	h := l.host("archive", 2)
	ld := l.begin(ctx, l.entries("feed"), classes(rate))
	row, err := ld.play(ctx, func() error {
		err := l.slow(slowdown)
		return firstOf(err, ld.await(ctx, "requests are refused for overload", overloaded), endInOrder([]*harness.Process{h.Node}))
	}, nil, func() error {
		return firstOf(l.slow(1), l.startNode(ctx, h), l.whole(ctx))
	})
	if end := ld.end(ctx); err == nil {
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

// slow sets how slow archive's targets are.
func (l *Lab) slow(factor float64) error {
	for n := range 2 {
		url := "http://" + l.host("archive", n+1).Addr.Target + "/control/slow"
		if err := post(url, map[string]float64{"factor": factor}); err != nil {
			return err
		}
	}
	return nil
}
