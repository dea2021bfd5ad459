package workload

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Fault is a kind of fault of a service or of one of its targets.
type Fault string

// The faults. Event.Service and Event.Target select where they apply.
const (
	Slow         Fault = "slow"     // all targets take Factor times as long; 1 ends it
	Drain        Fault = "drain"    // the target leaves after finishing its calls
	Start        Fault = "start"    // a new target joins, cold
	Restart      Fault = "restart"  // the target's node loses its state and its calls in flight
	FailFast     Fault = "failfast" // the target fails every call immediately; Factor 0 ends it
	ReportNoLoad Fault = "lie"      // the target reports no load; Factor 0 ends it
	Crash        Fault = "lose"     // the target and its node crash
	Shrink       Fault = "shrink"   // only 1/Factor of each target's slots work; 1 ends it
)

// Phase is a part of a scenario with constant demand.
type Phase struct {
	Duration time.Duration
	Load     float64            // demand as a fraction of the sustainable rate
	Tenants  map[string]float64 // additional demand factor by tenant
	Trigger  bool               // the measured phase, with the scenario's overload or faults
}

// Scenario is a sequence of demand phases with the faults in them.
type Scenario struct {
	Name               string
	Description        string
	Phases             []Phase
	Faults             []Event // T is relative to the start of the trigger phase
	AggressiveFraction float64 // fraction of clients that ignore Retry-After
	TimeoutDivisor     float64 // divisor of the clients' timeout per attempt; 0 counts as 1
}

// Parameters of the scenarios. NormalLoad, SurgeLoad and crowdLoad are fractions of the
// sustainable rate; SurgeLoad is the load for which the overload goals are stated.
const (
	NormalLoad          = 0.6
	SurgeLoad           = 2.0
	crowdLoad           = 2.3
	crowdAggressive     = 0.2
	slowFactor          = 4
	shrinkDivisor       = 6
	shortTimeoutDivisor = 4
	floodFactor         = 10
)

// PhaseDurations are the durations of the phases before, during and after the trigger.
type PhaseDurations struct{ Before, During, After time.Duration }

// FullPhaseDurations are the phase durations of the published tables.
var FullPhaseDurations = PhaseDurations{8 * time.Second, 10 * time.Second, 12 * time.Second}

func (l PhaseDurations) phases(during Phase) []Phase {
	during.Duration, during.Trigger = l.During, true
	return []Phase{{Duration: l.Before, Load: NormalLoad}, during, {Duration: l.After, Load: NormalLoad}}
}

// ScenarioNames lists the scenarios in the order of the published tables.
var ScenarioNames = []string{"normal", "worst", "surge", "crowd", "slow", "replace", "restart", "lost", "shrink", "hasty", "failfast", "flood"}

// ScenarioFor returns the named scenario for a deployment, or nil if there is none.
func ScenarioFor(name string, d *Deployment, l PhaseDurations) *Scenario {
	entry := d.Classes[0].Root.Service
	for i := range d.Classes {
		if len(d.Classes[i].Root.Steps) > 0 && d.Classes[i].Share > 0.5 {
			entry = d.Classes[i].Root.Service
		}
	}
	surge := l.phases(Phase{Load: SurgeLoad})
	slowStart := Event{Fault: Slow, Service: d.DownstreamService, Factor: slowFactor}
	slowEnd := Event{T: l.During, Fault: Slow, Service: d.DownstreamService, Factor: 1}
	switch name {
	case "normal":
		return &Scenario{Name: name, Description: "normal load, clients honor Retry-After", Phases: l.phases(Phase{Load: NormalLoad}), Faults: nil, AggressiveFraction: 0}
	case "worst":
		return &Scenario{Name: name, Description: "a deep service slows down, demand surges, clients retry aggressively", Phases: surge, Faults: []Event{slowStart, slowEnd}, AggressiveFraction: 1}
	case "surge":
		return &Scenario{Name: name, Description: "twice the sustainable demand, clients retry aggressively", Phases: surge, Faults: nil, AggressiveFraction: 1}
	case "crowd":
		return &Scenario{Name: name, Description: "far more than the sustainable demand, most clients honor Retry-After", Phases: l.phases(Phase{Load: crowdLoad}), AggressiveFraction: crowdAggressive}
	case "slow":
		return &Scenario{Name: name, Description: "a deep service slows down at normal demand", Phases: l.phases(Phase{Load: NormalLoad}), Faults: []Event{slowStart, slowEnd}, AggressiveFraction: 1}
	case "replace":
		return &Scenario{Name: name, Description: "the entry service's targets are replaced during the surge", Phases: surge, Faults: d.replacementFaults(entry, l), AggressiveFraction: 1}
	case "restart":
		return &Scenario{Name: name, Description: "a node of the entry service loses its state during the surge", Phases: surge, AggressiveFraction: 1,
			Faults: []Event{{T: l.During / 2, Fault: Restart, Service: entry}}}
	case "lost":
		return &Scenario{Name: name, Description: "most targets of a deep service crash during the surge", Phases: surge, Faults: d.crashFaults(l), AggressiveFraction: 1}
	case "shrink":
		return &Scenario{Name: name, Description: "a deep service runs fewer concurrent requests than it declares", Phases: surge, AggressiveFraction: 1,
			Faults: []Event{{Fault: Shrink, Service: d.DownstreamService, Factor: shrinkDivisor}, {T: l.During, Fault: Shrink, Service: d.DownstreamService, Factor: 1}}}
	case "hasty":
		return &Scenario{Name: name, Description: "the worst scenario with short client timeouts", Phases: surge,
			Faults: []Event{slowStart, slowEnd}, AggressiveFraction: 1, TimeoutDivisor: shortTimeoutDivisor}
	case "failfast":
		return &Scenario{Name: name, Description: "one target of the deep service fails fast and reports no load", Phases: l.phases(Phase{Load: NormalLoad}), AggressiveFraction: 1,
			Faults: []Event{{Fault: FailFast, Service: d.DownstreamService, Factor: 1}, {Fault: ReportNoLoad, Service: d.DownstreamService, Factor: 1},
				{T: l.During, Fault: FailFast, Service: d.DownstreamService}, {T: l.During, Fault: ReportNoLoad, Service: d.DownstreamService}}}
	case "flood":
		return &Scenario{Name: name, Description: "one tenant floods a shared service", AggressiveFraction: 1, Phases: l.phases(Phase{Load: NormalLoad,
			Tenants: map[string]float64{"khaosan": floodFactor}})}
	}
	return nil
}

// replacementFaults replaces the targets of a service one after another. Each new target
// starts replacementOverlap before the old one drains.
func (d *Deployment) replacementFaults(service string, l PhaseDurations) []Event {
	var out []Event
	for i := range d.Services {
		s := &d.Services[i]
		if s.Name != service {
			continue
		}
		for n := range s.Targets {
			at := replacementOverlap + (l.During-replacementOverlap)*time.Duration(n)/time.Duration(s.Targets)
			out = append(out, Event{T: at - replacementOverlap, Fault: Start, Service: service, Target: s.Targets + n},
				Event{T: at, Fault: Drain, Service: service, Target: n})
		}
	}
	return out
}

const replacementOverlap = 2 * time.Second

// crashFaults crashes all targets of the DownstreamService but one, and starts new ones
// at the end of the trigger phase.
func (d *Deployment) crashFaults(l PhaseDurations) []Event {
	var out []Event
	for i := range d.Services {
		s := &d.Services[i]
		if s.Name != d.DownstreamService {
			continue
		}
		for n := range s.Targets - 1 {
			out = append(out, Event{Fault: Crash, Service: s.Name, Target: n},
				Event{T: l.During, Fault: Start, Service: s.Name, Target: s.Targets + n})
		}
	}
	return out
}

// clientCount is the number of distinct clients in a trace.
const clientCount = 20000

// Generate generates a random trace of a scenario.
func Generate(d *Deployment, s *Scenario, seed uint64) *Trace {
	rng := rand.New(rand.NewPCG(seed, 0x7ea2))
	sustainable := d.SustainableRate()
	tr := &Trace{Header: Header{Format: Format, Deployment: d.Name, Scenario: s.Name, Seed: seed, AggressiveFraction: s.AggressiveFraction, TimeoutDivisor: s.TimeoutDivisor}}
	at := time.Duration(0)
	for _, p := range s.Phases {
		if p.Trigger {
			tr.Header.From, tr.Header.To = at, at+p.Duration
			for _, f := range s.Faults {
				f.T += at
				tr.Events = append(tr.Events, f)
			}
		}
		for i := range d.Classes {
			tr.Events = append(tr.Events, poissonArrivals(rng, d, &d.Classes[i], p, sustainable, at)...)
		}
		at += p.Duration
	}
	tr.Header.Duration = at
	slices.SortStableFunc(tr.Events, func(a, b Event) int { return int(a.T - b.T) })
	return tr
}

// poissonArrivals generates the requests of one class in one phase.
func poissonArrivals(rng *rand.Rand, d *Deployment, c *Class, p Phase, sustainable float64, from time.Duration) []Event {
	rate := sustainable * p.Load * c.Share
	if f, ok := p.Tenants[c.Tenant]; ok {
		rate *= f
	}
	out := make([]Event, 0, int(math.Ceil(rate*p.Duration.Seconds())))
	for at := 0.0; ; {
		at += rng.ExpFloat64() / rate
		t := time.Duration(at * float64(time.Second))
		if t >= p.Duration {
			return out
		}
		client := rng.IntN(clientCount)
		out = append(out, Event{T: from + t, Tenant: c.Tenant, Class: c.Name, Client: client, Zone: client % d.Zones})
	}
}
