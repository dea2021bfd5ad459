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

// classes is the mix that runs during scenarios.
func classes(rate float64) []client.Class {
	steady := []client.Phase{{For: time.Hour, Rate: rate}} // until stopped
	return []client.Class{
		{Name: "read", Host: "feed.lab", Path: "/feed", Phases: steady},
		{Name: "write", Method: "POST", Host: "archive.lab", Path: "/writes", Body: 300, Phases: steady},
		{
			Name: "publish", Method: "POST", Host: "notices.lab", Path: "/notices", Key: true, Body: 200,
			Phases: steady, Attempts: 4, Backoff: 50 * time.Millisecond,
		},
	}
}

// hosts are the services that the classes' requests go to.
var hosts = map[string]string{"read": "feed.lab", "write": "archive.lab", "publish": "notices.lab", "crash": "feed.lab", "upload": "archive.lab"}

// load is a mix of requests under way.
type load struct {
	lab  *Lab
	stop context.CancelFunc
	done chan error

	mu       sync.Mutex
	attempts map[string][]client.Attempt // by mark
}

// begin starts a load through some nodes. Requests that are under way when it
// ends are finished.
func (l *Lab) begin(ctx context.Context, urls []string, cs []client.Class) *load {
	l.seed++
	ld := &load{lab: l, done: make(chan error, 1), attempts: make(map[string][]client.Attempt)}
	for i := range cs {
		cs[i].Dated = cs[i].Key && l.shared
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
	ld.attempts[a.Mark] = append(ld.attempts[a.Mark], a)
}

// await waits until the attempts so far are as wished.
func (ld *load) await(ctx context.Context, what string, ok func(as map[string][]client.Attempt) bool) error {
	return await(ctx, what, func() bool {
		ld.mu.Lock()
		defer ld.mu.Unlock()
		return ok(ld.attempts)
	})
}

// recovered waits until requests of all classes that began from now on have
// completed, n of each in a row.
func (ld *load) recovered(ctx context.Context, n int) error {
	from := time.Now()
	return ld.await(ctx, "requests of all classes complete again", func(as map[string][]client.Attempt) bool {
		good, last := map[string]int{}, map[string]time.Time{}
		for _, tries := range as {
			if a := tries[len(tries)-1]; a.Final && a.Result != client.Completed && a.At.After(last[a.Class]) {
				last[a.Class] = a.At
			}
		}
		for _, tries := range as {
			a := tries[len(tries)-1]
			if a.Result == client.Completed && a.At.After(from) && a.At.After(last[a.Class]) {
				good[a.Class]++
			}
		}
		return good["read"] >= n && good["write"] >= n && good["publish"] >= n
	})
}

// end stops the load, waits until nothing runs, and judges all attempts.
func (ld *load) end(ctx context.Context) error {
	ld.stop()
	if err := <-ld.done; err != nil {
		return err
	}
	if err := ld.lab.quiet(ctx); err != nil {
		return err
	}
	t, err := ld.lab.tally(hosts)
	if err != nil {
		return err
	}
	for mark, as := range ld.attempts {
		if err := judge(mark, as, t); err != nil {
			return err
		}
	}
	return nil
}

// gaveUp reports requests that the end of the load canceled; of their outcome
// nothing may be concluded.
func gaveUp(as []client.Attempt) bool {
	return errors.Is(as[len(as)-1].Err, context.Canceled)
}

// allowance is the extra attempts of the lab's classes, over the whole chain.
const allowance = 2

// judge holds what a request's caller was told against what ran.
func judge(mark string, as []client.Attempt, t tally) error {
	last := as[len(as)-1]
	for _, a := range as {
		switch a.Result {
		case client.Wrong, client.Partial:
			return status.Wrap(CodeBroken, a.Err, "%s: %s answer", mark, a.Result)
		case client.Completed:
			if t.own[mark] == 0 {
				return status.New(CodeBroken, "%s: completed without a run", mark)
			}
		}
	}
	once := last.Class != "read"
	switch {
	case once && t.own[mark] > 1:
		return status.New(CodeBroken, "%s: ran %d times", mark, t.own[mark])
	case !once && t.all[mark] > 2+allowance:
		return status.New(CodeBroken, "%s: %d runs of a chain of two with %d extra attempts", mark, t.all[mark], allowance)
	case last.Result == client.Refused && t.all[mark] > 0:
		return status.New(CodeBroken, "%s: refused as %s, but ran %d times", mark, last.Code, t.all[mark])
	}
	return nil
}

// quiet waits until no target runs anything.
func (l *Lab) quiet(ctx context.Context) error {
	for _, h := range l.Fleet.Hosts {
		if err := await(ctx, "nothing runs at "+h.Name, func() bool { return idle(h) }); err != nil {
			return err
		}
	}
	return nil
}

func idle(h *harness.Host) bool {
	c, err := counters(h)
	if err != nil || c.InFlight > 0 || c.Queued > 0 {
		return false
	}
	s, err := h.Status()
	return err == nil && s.InFlight == 0
}
