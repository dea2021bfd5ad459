package replay

import "slices"

// GateKind is the admission control of a node.
type GateKind int

// The kinds of gate. All but GateCore are baselines.
const (
	GateNone     GateKind = iota // the target's own queue only
	GateStatic                   // a fixed limit of requests in flight, refuses above
	GateAdaptive                 // a limit that follows latency, refuses above, no order
	GateCore                     // internal/core/admission
)

// Policy says which parts of peardrift take part in a run.
type Policy struct {
	Name          string
	About         string
	Gate          GateKind
	CorePick      bool // route core; else the less loaded of two random targets
	CoreRetry     bool // allowance per request and budget; else HopTries at each hop
	HopTries      int  // attempts a hop makes without CoreRetry
	Early         bool // callers refuse by the levels that they learned
	EarlyEntry    bool // only at the entry, not in calls of a request that has run
	ChainLevel    bool // a service answers with the level of the services below it too
	Allowance     bool // the request's allowance is split and returned
	ServiceBudget bool // retries draw on a budget that successes fill
	Deadlines     bool // the whole request's deadline travels with each call
	Cancel        bool // work for a caller that has gone is stopped
	ChainOrder    bool // one hashed order for all hops; else each hop draws its own
	DeepFirst     bool // depth decides within an importance
	Queue         bool // calls wait for a slot; else they run at once or are refused
	Level         bool // the gate sets a level, which callers learn
	Order         bool // the queue is in the order of importance; else of arrival
	Platform      bool // the settings of nodes on the users' platform
}

// whole is peardrift with all its parts.
func whole() Policy {
	return Policy{
		Name: "peardrift", About: "all parts", Gate: GateCore, CorePick: true, CoreRetry: true, HopTries: baselineTries,
		Early: true, ChainLevel: true, Allowance: true, ServiceBudget: true, Deadlines: true, Cancel: true,
		ChainOrder: true, DeepFirst: true, Queue: true, Level: true, Order: true,
	}
}

// baselineTries is the usual default of three attempts at each hop.
const baselineTries = 3

// Baselines are the policies that peardrift is compared with.
func Baselines() []Policy {
	return []Policy{
		{Name: "none", About: "no control, three tries a hop", HopTries: baselineTries},
		{Name: "static", About: "a fixed limit a hop, three tries a hop", Gate: GateStatic, HopTries: baselineTries},
		{Name: "adaptive", About: "an adaptive limit a hop, deadlines and cancellation, no order, three tries a hop",
			Gate: GateAdaptive, HopTries: baselineTries, Deadlines: true, Cancel: true},
	}
}

// Ablations are peardrift with one part switched off.
func Ablations() []Policy {
	without := func(name string, off func(*Policy)) Policy {
		p := whole()
		p.Name, p.About = "no-"+name, "peardrift without "+name
		off(&p)
		return p
	}
	return []Policy{
		without("chain-order", func(p *Policy) { p.ChainOrder = false }),
		without("early", func(p *Policy) { p.Early = false }),
		earlyAtEntry(),
		without("chain-level", func(p *Policy) { p.ChainLevel = false }),
		without("allowance", func(p *Policy) { p.Allowance = false }),
		without("budget", func(p *Policy) { p.ServiceBudget = false }),
		without("retry-bounds", func(p *Policy) { p.CoreRetry = false }),
		without("deadlines", func(p *Policy) { p.Deadlines = false }),
		without("time-bounds", func(p *Policy) { p.Deadlines, p.Cancel = false, false }),
		without("cancel", func(p *Policy) { p.Cancel = false }),
		without("deep-first", func(p *Policy) { p.DeepFirst = false }),
		without("queue", func(p *Policy) { p.Queue = false }),
		without("level", func(p *Policy) { p.Level = false }),
		// A level cuts the order of importance, so there is none without it.
		without("order", func(p *Policy) { p.Order, p.Level = false, false }),
		without("route", func(p *Policy) { p.CorePick = false }),
	}
}

// earlyAtEntry is a variant: a request that has cost work goes on to the gate.
func earlyAtEntry() Policy {
	p := whole()
	p.Name, p.About, p.EarlyEntry = "early-at-entry", "peardrift with early refusal at the entry only", true
	return p
}

// onPlatform is peardrift as its nodes run on the users' platform.
func onPlatform() Policy {
	p := earlyAtEntry()
	p.Name, p.About, p.Platform = "platform", "peardrift with the settings of the users' platform", true
	return p
}

// Policies lists all policies, peardrift first.
func Policies() []Policy {
	return slices.Concat([]Policy{whole(), onPlatform()}, Baselines(), Ablations())
}

// PolicyFor returns the policy of that name.
func PolicyFor(name string) (Policy, bool) {
	all := Policies()
	i := slices.IndexFunc(all, func(p Policy) bool { return p.Name == name })
	if i < 0 {
		return Policy{}, false
	}
	return all[i], true
}
