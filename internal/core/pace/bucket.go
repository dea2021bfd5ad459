package pace

import (
	"math"
	"time"

	"peardrift/internal/core/request"
)

// heldBackFor is the time for which the last importance that was held back counts: until its
// next request.
const heldBackFor = 100 * time.Millisecond

// service records which importance of a service was last held back.
type service struct {
	importance request.Importance
	at         time.Duration
	known      bool
}

// holdBack records that an importance is held back; the highest one counts.
func (s *service) holdBack(now time.Duration, imp request.Importance) {
	if !s.known || imp >= s.importance || now-s.at > heldBackFor {
		*s = service{importance: imp, at: now, known: true}
	}
}

// holdsBackAbove reports whether an importance above imp is held back.
func (s *service) holdsBackAbove(now time.Duration, imp request.Importance) bool {
	return s.known && s.importance > imp && now-s.at <= heldBackFor
}

// bucket holds the tokens of one key and importance: each lets one request start.
type bucket struct {
	importance request.Importance
	service    *service
	at         time.Duration // of the last advance
	admitted   float64       // fraction at the last advance
	demand     float64       // rate of arrivals per second, decaying over Config.DemandWindow
	tokens     float64
}

// advance moves the bucket to now. While everything is admitted, tokens are added for
// requests that wait since less was admitted.
func (b *bucket) advance(now time.Duration, cfg *Config, admitted float64) {
	since := max(now-b.at, 0).Seconds()
	b.at = max(b.at, now)
	b.admitted = min(admitted, b.admitted+b.rise(cfg)*since)
	if b.admitted < 1 {
		b.service.holdBack(b.at, b.importance)
	}
	if since == 0 {
		return
	}
	before := b.demand
	b.demand *= math.Exp(-since / cfg.DemandWindow.Seconds())
	if b.admitted >= 1 {
		b.add(cfg, cfg.Release*(before-b.demand)*cfg.DemandWindow.Seconds())
	}
}

// rise returns by how much the admitted fraction that counts may rise in a second.
func (b *bucket) rise(cfg *Config) float64 {
	rise := 1 / cfg.RiseTime.Seconds()
	if b.service.holdsBackAbove(b.at, b.importance) {
		rise *= cfg.LowerRise
	}
	return rise
}

// arrived counts a request and adds the token of the part of it that is admitted.
func (b *bucket) arrived(cfg *Config) {
	b.demand += 1 / cfg.DemandWindow.Seconds()
	part := b.admitted
	if part < 1 {
		part *= cfg.Margin
	}
	b.add(cfg, max(part, cfg.ProbeFraction))
}

// minDepth is the least number of tokens that a bucket holds. With 1, the part of a token
// that is left of the arrival before would be lost, and a bucket of little demand to which
// each arrival adds 0.9 would let every second request start.
const minDepth = 2

func (b *bucket) add(cfg *Config, tokens float64) {
	b.tokens = min(b.tokens+tokens, max(minDepth, b.demand*cfg.Depth.Seconds()))
}

// wholeToken is one token, less rounding errors.
const wholeToken = 1 - 1e-9

// take takes a token and reports whether there was one.
func (b *bucket) take() bool {
	if b.tokens < wholeToken {
		return false
	}
	b.tokens = max(b.tokens-1, 0)
	return true
}

// wait returns the time until a token is there if no request arrives, at most
// Config.Recheck.
func (b *bucket) wait(cfg *Config) time.Duration {
	if b.tokens >= wholeToken {
		return 0
	}
	window := cfg.DemandWindow.Seconds()
	missing := (1 - b.tokens) / (cfg.Release * b.demand * window)
	if b.admitted < 1 || !(missing < 1) {
		return cfg.Recheck
	}
	seconds := min(-window*math.Log(1-missing), cfg.Recheck.Seconds())
	return time.Duration(seconds*float64(time.Second)) + 1
}
