package target

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

// serviceTimer draws random service times. Safe for concurrent use.
type serviceTimer struct {
	mu         sync.Mutex
	rng        *rand.Rand
	dist       string
	sigma      float64
	factor     float64 // multiplier set at run time; 1 is normal
	rejected   float64 // share of requests to reject without a run
	coldFactor float64
	coldUntil  time.Time // end of the cold start
}

func newServiceTimer(cfg Config, now time.Time) *serviceTimer {
	p := &serviceTimer{
		rng:        rand.New(rand.NewPCG(cfg.Seed, 1)),
		dist:       cfg.Dist,
		sigma:      cfg.Sigma,
		factor:     1,
		coldFactor: cfg.ColdFactor,
	}
	p.startCold(now, cfg.ColdFor)
	return p
}

func (p *serviceTimer) startCold(now time.Time, coldFor time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.coldUntil = now.Add(coldFor)
}

func (p *serviceTimer) setFactor(f float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.factor = f
}

func (p *serviceTimer) setRejected(share float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rejected = share
}

// drawRejected reports whether the next request is rejected.
func (p *serviceTimer) drawRejected() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rejected > 0 && p.rng.Float64() < p.rejected
}

// draw returns the service time of a run that starts at now.
func (p *serviceTimer) draw(now time.Time, mean time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	d := float64(mean) * p.factor
	switch p.dist {
	case DistExponential:
		d *= p.rng.ExpFloat64()
	case DistLognormal:
		// Shifted by -sigma²/2 to keep the mean.
		d *= math.Exp(p.sigma*p.rng.NormFloat64() - p.sigma*p.sigma/2)
	}
	if now.Before(p.coldUntil) {
		d *= p.coldFactor
	}
	return time.Duration(d)
}

// sleepContext waits for d. It returns ctx's cause if ctx is done before.
func sleepContext(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// load is the body of a /load answer.
type load struct {
	InFlight    int     `json:"in_flight"`
	Slots       int     `json:"slots"`
	Utilization float64 `json:"utilization"`
}

// loadHistory keeps past load readings, so that /load can report stale ones.
type loadHistory struct {
	mu       sync.Mutex
	readings []reading
}

type reading struct {
	at   time.Time
	load load
}

// add appends a reading and removes those that are too old to be reported.
func (l *loadHistory) add(now time.Time, v load, lag time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.readings = append(l.readings, reading{now, v})
	for len(l.readings) > 1 && now.Sub(l.readings[1].at) >= lag {
		l.readings = l.readings[1:]
	}
}

// at returns the newest reading that is at least lag old, or the oldest one if
// there is none.
func (l *loadHistory) at(now time.Time, lag time.Duration) load {
	l.mu.Lock()
	defer l.mu.Unlock()
	var v load
	for i, r := range l.readings {
		if i > 0 && now.Sub(r.at) < lag {
			break
		}
		v = r.load
	}
	return v
}
