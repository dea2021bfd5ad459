package client

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"peardrift/internal/status"
)

// Run sends the load and returns what became of it. A context that ends early
// stops new requests and cancels those in flight.
func Run(ctx context.Context, cfg Config) (Report, error) {
	if len(cfg.URLs) == 0 {
		return nil, status.New(status.CodeInvalidSettings, "no URL to send requests to")
	}
	cfg = cfg.withDefaults()
	r := &runner{
		cfg:  cfg,
		rec:  newRecorder(cfg),
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: cfg.MaxOpen, DisableCompression: true}},
		open: make(chan struct{}, cfg.MaxOpen),
	}
	defer r.http.CloseIdleConnections()
	var wg sync.WaitGroup
	for i, c := range cfg.Classes {
		if len(c.Phases)+len(c.Times) > 0 {
			wg.Go(func() { r.openLoop(ctx, i, c) })
		}
		for range c.Workers {
			wg.Go(func() { r.closedLoop(ctx, c) })
		}
	}
	wg.Wait()
	return r.rec.report, nil
}

type runner struct {
	cfg  Config
	rec  *recorder
	http *http.Client
	open chan struct{}
	seq  atomic.Uint64 // requests
	next atomic.Uint64 // attempts, for the URL's turn
}

// openLoop sends requests when they are due, however many are in flight.
func (r *runner) openLoop(ctx context.Context, i int, c Class) {
	var wg sync.WaitGroup
	defer wg.Wait()
	start := time.Now()
	rng := rand.New(rand.NewPCG(r.cfg.Seed, uint64(i)))
	for at := range c.arrivals(rng) {
		due := start.Add(at)
		if sleep(ctx, time.Until(due)) != nil {
			return
		}
		select {
		case r.open <- struct{}{}:
			wg.Go(func() {
				defer func() { <-r.open }()
				r.request(ctx, c, due)
			})
		default:
			r.rec.update(c.Name, func(s *Stats) { s.Overrun++ })
		}
	}
}

// closedLoop sends one request after the other.
func (r *runner) closedLoop(ctx context.Context, c Class) {
	end := time.Now().Add(r.cfg.Duration)
	for n := 0; ctx.Err() == nil && (c.Requests == 0 || n < c.Requests); n++ {
		now := time.Now()
		if now.After(end) {
			return
		}
		r.request(ctx, c, now)
	}
}

// request makes up to c.Attempts attempts at one request.
func (r *runner) request(ctx context.Context, c Class, due time.Time) {
	n := r.seq.Add(1)
	rng := rand.New(rand.NewPCG(r.cfg.Seed, n))
	mark := fmt.Sprintf("%s-%x-%d", c.Name, r.cfg.Seed, n)
	key := keyOf(c, mark)
	r.rec.update(c.Name, func(s *Stats) { s.Sent++ })
	for k := 1; ; k++ {
		a := r.attempt(ctx, c, mark, key, k)
		pause := c.wait(k, a.retryAfter, rng)
		a.Final = a.Result == Completed || k >= c.Attempts || ctx.Err() != nil || c.tired(time.Since(due)+pause)
		r.rec.update(c.Name, func(s *Stats) { s.Attempts++ })
		if r.cfg.Observe != nil {
			r.cfg.Observe(a)
		}
		if a.Final || sleep(ctx, pause) != nil {
			r.rec.finish(a, time.Since(due))
			return
		}
	}
}

// tired reports whether no attempt begins so long after the arrival.
func (c Class) tired(after time.Duration) bool { return c.Patience > 0 && after >= c.Patience }

// sleep waits for d or for the end of ctx.
func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
