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

// Run generates the load and returns the results by class. Cancelling ctx stops
// new requests and cancels those in flight.
func Run(ctx context.Context, cfg Config) (Report, error) {
	if len(cfg.URLs) == 0 {
		return nil, status.New(status.CodeInvalidSettings, "no URL to send requests to")
	}
	cfg = cfg.withDefaults()
	r := &runner{
		cfg:      cfg,
		rec:      newRecorder(cfg),
		http:     &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: cfg.MaxInFlight, DisableCompression: true}},
		inFlight: make(chan struct{}, cfg.MaxInFlight),
	}
	defer r.http.CloseIdleConnections()
	var wg sync.WaitGroup
	for i, c := range cfg.Classes {
		if len(c.Phases)+len(c.ArrivalTimes) > 0 {
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
	cfg        Config
	rec        *recorder
	http       *http.Client
	inFlight   chan struct{}
	requestSeq atomic.Uint64 // last request number
	nextURL    atomic.Uint64 // attempts so far, for round robin over the URLs
}

// openLoop sends each request when it is due, up to MaxInFlight requests in flight.
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
		case r.inFlight <- struct{}{}:
			wg.Go(func() {
				defer func() { <-r.inFlight }()
				r.request(ctx, c, due)
			})
		default:
			r.rec.updateClass(c.Name, func(s *Stats) { s.Unsent++ })
		}
	}
}

// closedLoop sends one request at a time.
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

// request sends one request with up to c.Attempts attempts and records the result.
func (r *runner) request(ctx context.Context, c Class, due time.Time) {
	n := r.requestSeq.Add(1)
	rng := rand.New(rand.NewPCG(r.cfg.Seed, n))
	mark := fmt.Sprintf("%s-%x-%d", c.Name, r.cfg.Seed, n)
	key := idempotencyKey(c, mark)
	r.rec.updateClass(c.Name, func(s *Stats) { s.Sent++ })
	for k := 1; ; k++ {
		a := r.attempt(ctx, c, mark, key, k)
		pause := c.retryDelay(k, a.retryAfter, rng)
		a.Final = a.Result == Completed || k >= c.Attempts || ctx.Err() != nil || c.pastRetryWindow(time.Since(due)+pause)
		r.rec.updateClass(c.Name, func(s *Stats) { s.Attempts++ })
		if r.cfg.Observe != nil {
			r.cfg.Observe(a)
		}
		if a.Final || sleep(ctx, pause) != nil {
			r.rec.finish(a, time.Since(due))
			return
		}
	}
}

// pastRetryWindow reports whether no attempt may start this long after the arrival.
func (c Class) pastRetryWindow(elapsed time.Duration) bool {
	return c.RetryWindow > 0 && elapsed >= c.RetryWindow
}

// sleep waits for d or until ctx is done.
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
