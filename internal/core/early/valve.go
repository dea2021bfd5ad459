package early

import (
	"time"

	"peardrift/internal/core/request"
)

// Valve lets in the part of a class's whole requests that the services below can
// complete, by how those that it let in have ended.
//
// Symptom it prevents: a deep service is short by a third, each request needs ten
// calls there, and nearly all requests lose one of them: the service is busy with
// calls of requests that fail all the same. Levels learned from answers don't
// help: in a chain that deep, and with targets that differ, they are old or
// contradict each other by the time that they reach the entry. The ends of whole
// requests are the one thing that an entry sees for itself.
//
// The part falls by as much as more than ValveTolerated of the requests fail for
// load, and rises slowly at first, then ever faster while all goes well; so it
// stays close below what the chain carries, and is soon open again when what was
// slow is well. Which requests are refused follows the order of priorities, as at
// all other places.
//
// A Valve is not safe for concurrent use.
type Valve struct {
	cfg  *Config
	keys map[Key]*opening
}

// End is how a whole request ended, as far as it concerns a Valve.
type End uint8

const (
	// Other ends say nothing of the load below: the caller has left, the target
	// itself failed.
	Other End = iota
	// Good: it completed.
	Good
	// Overloaded: it was refused or failed for load, or ran out of time.
	Overloaded
)

// opening is what is known of one class.
type opening struct {
	part   float64 // of the requests that are let in
	growth float64 // by which the part rises next
	cut    time.Duration
	began  time.Duration // of the window
	good   int
	bad    int
}

// NewValve returns a valve that is open for all classes.
func NewValve(cfg *Config) *Valve { return &Valve{cfg: cfg, keys: make(map[Key]*opening)} }

// Admit reports whether a request may enter.
func (v *Valve) Admit(k Key, p request.Priority) bool {
	o := v.keys[k]
	return o == nil || float64(p&hashMask) >= (1-o.part)*(hashMask+1)
}

// hashMask covers the part of a priority that is drawn from the request's
// identity.
const (
	hashBits = 16
	hashMask = 1<<hashBits - 1
)

// Level returns the level that refuses what the valve does, of requests with an
// importance; 0 if it refuses none.
func (v *Valve) Level(k Key, imp request.Importance) request.Level {
	o := v.keys[k]
	if o == nil || o.part >= 1 {
		return 0
	}
	return request.Level(imp)<<hashBits + request.Level((1-o.part)*(hashMask+1))
}

// Done takes in how a request ended that entered at began. It reports whether the
// part has changed.
func (v *Valve) Done(now, began time.Duration, k Key, end End) bool {
	if end == Other {
		return false
	}
	o := v.keys[k]
	if o == nil {
		if end == Good || len(v.keys) >= v.cfg.MaxKeys {
			return false // a class that has never failed for load needs no record
		}
		o = &opening{part: 1, growth: v.cfg.ValveMaxGrowth, began: now}
		v.keys[k] = o
	}
	// What entered before the last cut ends as it must; held against the valve
	// again, one overload would be answered several times.
	if began < o.cut {
		return false
	}
	if end == Good {
		o.good++
	} else {
		o.bad++
	}
	return v.roll(now, o)
}

// roll ends the window if it is due.
func (v *Valve) roll(now time.Duration, o *opening) bool {
	n := o.good + o.bad
	age := now - o.began
	full := n >= v.cfg.ValveSamples && age >= v.cfg.ValveWindow
	rare := n >= valveFewest && age >= valveRare*v.cfg.ValveWindow
	if !full && !rare {
		return false
	}
	failed := float64(o.bad) / float64(n)
	before := o.part
	if failed > v.cfg.ValveTolerated && o.bad >= valveLeast {
		o.part = max(v.cfg.ValveMin, o.part*(1-min(failed-v.cfg.ValveTolerated/2, valveMostCut)))
		o.growth = v.cfg.ValveGrowth
		if failed >= valveOutage {
			o.growth = v.cfg.ValveMaxGrowth
		}
		o.cut = now
	} else if failed <= v.cfg.ValveTolerated {
		o.part = min(1, o.part*(1+o.growth))
		o.growth = min(o.growth*valveFaster, v.cfg.ValveMaxGrowth)
	}
	o.began, o.good, o.bad = now, 0, 0
	return o.part != before
}

const (
	// valveRare times the window ends it with valveFewest requests: a class of few
	// would hardly ever be judged otherwise.
	valveRare   = 2
	valveFewest = 3
	// valveLeast is how many requests must have failed for a cut: one alone is
	// chance.
	valveLeast = 2
	// valveOutage is the part of failures that speaks of an outage: how much the
	// chain carries is then not known, and when it is well again that is soon much.
	valveOutage = 0.8
	// valveMostCut is the most that one window takes off.
	valveMostCut = 0.5
	// valveFaster is by how much the growth itself grows with each good window.
	valveFaster = 1.5
)
