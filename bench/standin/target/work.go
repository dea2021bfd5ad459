package target

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

// pace draws service times. Safe for concurrent use.
type pace struct {
	mu     sync.Mutex
	rng    *rand.Rand
	dist   string
	sigma  float64
	factor float64 // set at run time, 1 is normal
	cold   float64
	until  time.Time // end of the cold start
}

func newPace(cfg Config, now time.Time) *pace {
	p := &pace{
		rng:    rand.New(rand.NewPCG(cfg.Seed, 1)),
		dist:   cfg.Dist,
		sigma:  cfg.Sigma,
		factor: 1,
		cold:   cfg.ColdFactor,
	}
	p.restart(now, cfg.ColdFor)
	return p
}

func (p *pace) restart(now time.Time, coldFor time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.until = now.Add(coldFor)
}

func (p *pace) setFactor(f float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.factor = f
}

// draw returns the time that a run which starts at now takes.
func (p *pace) draw(now time.Time, mean time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	d := float64(mean) * p.factor
	switch p.dist {
	case DistExponential:
		d *= p.rng.ExpFloat64()
	case DistLognormal:
		// Shifted by -sigma²/2, so that the mean stays the given one.
		d *= math.Exp(p.sigma*p.rng.NormFloat64() - p.sigma*p.sigma/2)
	}
	if now.Before(p.until) {
		d *= p.cold
	}
	return time.Duration(d)
}

// sleep waits for d or for the end of ctx, and reports which.
func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// load is one reading for /load.
type load struct {
	InFlight    int     `json:"in_flight"`
	Slots       int     `json:"slots"`
	Utilization float64 `json:"utilization"`
}

// loadLog keeps past readings, so that /load can lag.
type loadLog struct {
	mu   sync.Mutex
	past []reading
}

type reading struct {
	at   time.Time
	load load
}

// add notes a reading and forgets those that nobody can ask for any more.
func (l *loadLog) add(now time.Time, v load, lag time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.past = append(l.past, reading{now, v})
	for len(l.past) > 1 && now.Sub(l.past[1].at) >= lag {
		l.past = l.past[1:]
	}
}

// at returns the newest reading that is at least lag old, or else the oldest.
func (l *loadLog) at(now time.Time, lag time.Duration) load {
	l.mu.Lock()
	defer l.mu.Unlock()
	var v load
	for i, r := range l.past {
		if i > 0 && now.Sub(r.at) < lag {
			break
		}
		v = r.load
	}
	return v
}
