package soak

import (
	"context"
	"errors"
	"sync"
	"time"

	"peardrift/bench/harness"
	"peardrift/bench/standin/client"
	"peardrift/internal/status"
)

// Codes of failures: a guarantee that was violated, and a fleet that does not serve again.
const (
	CodeViolated     status.Code = "guarantee-violated"
	CodeNotRecovered status.Code = "not-recovered"
)

const (
	recoveryTimeout  = 60 * time.Second // far longer than a recovery takes
	recoveryRequests = 10               // of each class that must complete in a row
)

// Config says what one run plays.
type Config struct {
	// Seed draws the plan and the load.
	Seed uint64
	// Load is the duration of the load; default 8 s. Longer spreads the same events wider.
	Load time.Duration
}

// Result is what one run did.
type Result struct {
	Plan     Plan
	Dir      string         // logs and run files; kept on a failure
	Requests map[string]int // by "class result"
}

// Run starts a fleet, plays the plan of a seed, checks what callers were told, and stops the
// fleet.
func Run(ctx context.Context, bins harness.Binaries, cfg Config) (res Result, err error) {
	if cfg.Load == 0 {
		cfg.Load = 8 * time.Second
	}
	f, err := openFleet(ctx, bins)
	if err != nil {
		return res, err
	}
	defer f.close()
	defer func() { f.KeepFiles = err != nil }()
	res.Dir = f.Dir
	var names []string
	for _, h := range f.Hosts {
		names = append(names, h.Name)
	}
	res.Plan = NewPlan(cfg.Seed, cfg.Load, names, services)
	ld := &load{attempts: map[string][]client.Attempt{}}
	started := time.Now()
	err = f.playAll(ctx, res.Plan, ld)
	res.Requests = ld.results()
	if err == nil {
		err = f.recover(ctx, cfg.Seed)
	}
	return res, errors.Join(err, f.WaitIdle(recoveryTimeout), f.check(ld, res.Plan, started), f.Stop(stopTimeout))
}

// playAll plays the load and all events of a plan.
func (f *fleet) playAll(ctx context.Context, p Plan, ld *load) error {
	errs := make([]error, len(p.Events)+len(zones))
	var wg sync.WaitGroup
	for i, e := range p.Events {
		wg.Go(func() { errs[i] = f.play(ctx, e) })
	}
	for zone := range zones {
		wg.Go(func() {
			cfg := client.Config{URLs: f.urls(zone), Seed: 2*p.Seed + uint64(zone), Duration: p.Load, Classes: classes(p, zone), Observe: ld.observe}
			_, errs[len(p.Events)+zone] = client.Run(ctx, cfg)
		})
	}
	wg.Wait()
	return errors.Join(errs...)
}

// recover returns the objectives and waits until a number of requests of each class complete
// in a row, and all nodes are ready and know each other.
func (f *fleet) recover(ctx context.Context, seed uint64) error {
	cs := classes(Plan{}, 0)[:4] // without those that leave early
	for i := range cs {
		cs[i].Workers, cs[i].Requests, cs[i].Attempts = 1, recoveryRequests, 1
	}
	cfg := client.Config{URLs: append(f.urls(0), f.urls(1)...), Seed: seed << 32, Duration: recoveryTimeout, Classes: cs}
	applied := false
	err := f.WaitUntil(recoveryTimeout, func() bool {
		cfg.Seed++
		applied = applied || f.apply(ctx, true) == nil
		r, err := client.Run(ctx, cfg)
		for _, s := range r {
			if err != nil || s.ByResult[client.Completed] != recoveryRequests {
				return ctx.Err() != nil
			}
		}
		return applied || ctx.Err() != nil
	})
	if err != nil {
		return status.Wrap(CodeNotRecovered, err, "%d requests of each class complete in a row", recoveryRequests)
	}
	return errors.Join(ctx.Err(), f.WaitReady(startTimeout), f.WaitConverged(startTimeout))
}

// load records the attempts of all requests.
type load struct {
	mu       sync.Mutex
	attempts map[string][]client.Attempt // by mark
}

func (ld *load) observe(a client.Attempt) {
	ld.mu.Lock()
	defer ld.mu.Unlock()
	ld.attempts[a.RequestMark] = append(ld.attempts[a.RequestMark], a)
}

// results counts the requests by class and result of the last attempt.
func (ld *load) results() map[string]int {
	out := map[string]int{}
	for _, as := range ld.attempts {
		a := as[len(as)-1]
		out[a.Class+" "+string(a.Result)]++
	}
	return out
}
