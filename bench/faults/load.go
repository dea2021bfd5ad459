package faults

import (
	"context"
	"errors"
	"sync"
	"time"

	"peardrift/bench/harness"
	"peardrift/bench/standin/client"
	"peardrift/internal/status"
)

// classes returns the request mix that runs during scenarios.
func classes(rate float64) []client.Class {
	phases := []client.Phase{{Duration: time.Hour, Rate: rate}} // until stopped
	return []client.Class{
		{Name: "read", Host: "feed.lab", Path: "/feed", Phases: phases},
		{Name: "write", Method: "POST", Host: "archive.lab", Path: "/writes", Body: 300, Phases: phases},
		{
			Name: "publish", Method: "POST", Host: "notices.lab", Path: "/notices", Key: true, Body: 200,
			Phases: phases, Attempts: 4, Backoff: 50 * time.Millisecond,
		},
	}
}

// serviceOfClass maps a class to the service that its requests are sent to.
var serviceOfClass = map[string]string{"read": "feed.lab", "limited": "feed.lab", "write": "archive.lab", "publish": "notices.lab", "crash": "feed.lab", "upload": "archive.lab"}

// load is a running mix of requests.
type load struct {
	lab  *Lab
	stop context.CancelFunc
	done chan error

	mu       sync.Mutex
	attempts map[string][]client.Attempt // by mark
}

// startLoad starts a load through the nodes at urls. When it stops, requests in flight
// still complete.
func (l *Lab) startLoad(ctx context.Context, urls []string, cs []client.Class) *load {
	l.seed++
	ld := &load{lab: l, done: make(chan error, 1), attempts: make(map[string][]client.Attempt)}
	for i := range cs {
		cs[i].KeyUUIDv7 = cs[i].Key && l.shared
	}
	ctx, ld.stop = context.WithCancel(ctx)
	cfg := client.Config{URLs: urls, Seed: l.seed, Duration: time.Hour, Classes: cs, Observe: ld.observe}
	go func() {
		_, err := client.Run(ctx, cfg)
		ld.done <- err
	}()
	return ld
}

func (ld *load) observe(a client.Attempt) {
	ld.mu.Lock()
	defer ld.mu.Unlock()
	ld.attempts[a.RequestMark] = append(ld.attempts[a.RequestMark], a)
}

// await waits until ok accepts the attempts so far.
func (ld *load) await(ctx context.Context, what string, ok func(as map[string][]client.Attempt) bool) error {
	return await(ctx, what, func() bool {
		ld.mu.Lock()
		defer ld.mu.Unlock()
		return ok(ld.attempts)
	})
}

// awaitRecovery waits until n consecutive requests of each class that start from now on
// have completed.
func (ld *load) awaitRecovery(ctx context.Context, n int) error {
	from := time.Now()
	return ld.await(ctx, "requests of all classes complete again", func(as map[string][]client.Attempt) bool {
		completed, last := map[string]int{}, map[string]time.Time{}
		for _, tries := range as {
			if a := tries[len(tries)-1]; a.Final && a.Result != client.Completed && a.At.After(last[a.Class]) {
				last[a.Class] = a.At
			}
		}
		for _, tries := range as {
			a := tries[len(tries)-1]
			if a.Result == client.Completed && a.At.After(from) && a.At.After(last[a.Class]) {
				completed[a.Class]++
			}
		}
		return completed["read"] >= n && completed["write"] >= n && completed["publish"] >= n
	})
}

// finish stops the load, waits until all targets are idle, and checks all requests.
func (ld *load) finish(ctx context.Context) error {
	ld.stop()
	if err := <-ld.done; err != nil {
		return err
	}
	if err := ld.lab.awaitIdle(ctx); err != nil {
		return err
	}
	t, err := ld.lab.countRuns(serviceOfClass)
	if err != nil {
		return err
	}
	for mark, as := range ld.attempts {
		if err := checkRequest(mark, as, t); err != nil {
			return err
		}
	}
	return nil
}

// canceledAtEnd reports whether the end of the load canceled a request. Its outcome is
// then undefined.
func canceledAtEnd(as []client.Attempt) bool {
	return errors.Is(as[len(as)-1].Err, context.Canceled)
}

// extraAttempts is the number of extra attempts of the lab's classes over the whole call
// chain.
const extraAttempts = 2

// checkRequest compares the outcomes that a request's caller saw with the runs at targets.
func checkRequest(mark string, as []client.Attempt, t runCounts) error {
	last := as[len(as)-1]
	for _, a := range as {
		switch a.Result {
		case client.Wrong, client.Partial:
			return status.Wrap(CodeGuaranteeViolated, a.Err, "%s: %s answer", mark, a.Result)
		case client.Completed:
			if t.atService[mark] == 0 {
				return status.New(CodeGuaranteeViolated, "%s: completed without a run", mark)
			}
		}
	}
	atMostOnce := last.Class != "read"
	switch {
	case atMostOnce && t.atService[mark] > 1:
		return status.New(CodeGuaranteeViolated, "%s: ran %d times", mark, t.atService[mark])
	case !atMostOnce && t.all[mark] > 2+extraAttempts:
		return status.New(CodeGuaranteeViolated, "%s: %d runs of a call chain of two hops with %d extra attempts", mark, t.all[mark], extraAttempts)
	case last.Result == client.Refused && t.all[mark] > 0:
		return status.New(CodeGuaranteeViolated, "%s: refused as %s, but ran %d times", mark, last.Code, t.all[mark])
	}
	return nil
}

// awaitIdle waits until all targets and nodes are idle.
func (l *Lab) awaitIdle(ctx context.Context) error {
	for _, h := range l.Fleet.Hosts {
		if err := await(ctx, "idle: "+h.Name, func() bool { return idle(h) }); err != nil {
			return err
		}
	}
	return nil
}

func idle(h *harness.Host) bool {
	c, err := h.Counters()
	if err != nil || c.InFlight > 0 || c.Queued > 0 {
		return false
	}
	s, err := h.Status()
	return err == nil && s.InFlight == 0
}
