package replay

import "slices"

// GateKind is the admission control of a node.
type GateKind int

// The kinds of gate. All but GateCore are baselines.
const (
	GateNone     GateKind = iota // only the target's own queue
	GateStatic                   // fixed limit on requests in flight
	GateAdaptive                 // limit that adapts to latency, without priorities
	GateCore                     // internal/core/admission
)

// Policy selects the parts of peardrift that are enabled in a run.
type Policy struct {
	Name          string
	Description   string
	Gate          GateKind
	CorePick      bool // routing core; else the less loaded of two random targets
	CoreRetry     bool // allowance per request and budget; else HopAttempts at each hop
	HopAttempts   int  // attempts a hop makes without CoreRetry
	Early         bool // callers refuse by the admission levels that they learned
	EarlyEntry    bool // early refusal only at the entry node, not for child calls
	ChainLevel    bool // responses also carry the level of downstream services
	Allowance     bool // the request's attempt allowance is split over its calls, unspent parts return
	ServiceBudget bool // retries spend a budget that successes refill
	Deadlines     bool // the root request's deadline is propagated to all calls
	Cancel        bool // work is stopped when its caller no longer waits
	ChainOrder    bool // one hash order per request for all hops; else one per hop
	DeepFirst     bool // calls deep in the chain come first within an importance
	Queue         bool // calls wait for a slot; else they run immediately or are refused
	Level         bool // the gate sets an admission level, which callers learn
	Order         bool // the queue is ordered by importance; else by arrival
	Platform      bool // use the settings of nodes on the users' platform
}

// fullPolicy enables all parts of peardrift.
func fullPolicy() Policy {
	return Policy{
		Name: "peardrift", Description: "all parts", Gate: GateCore, CorePick: true, CoreRetry: true, HopAttempts: baselineAttempts,
		Early: true, ChainLevel: true, Allowance: true, ServiceBudget: true, Deadlines: true, Cancel: true,
		ChainOrder: true, DeepFirst: true, Queue: true, Level: true, Order: true,
	}
}

// baselineAttempts is the number of attempts per hop of the baselines; 3 is a common default.
const baselineAttempts = 3

// Baselines are the policies that peardrift is compared with.
func Baselines() []Policy {
	return []Policy{
		{Name: "none", Description: "no admission control, three attempts per hop", HopAttempts: baselineAttempts},
		{Name: "static", Description: "a fixed limit and three attempts per hop", Gate: GateStatic, HopAttempts: baselineAttempts},
		{Name: "adaptive", Description: "an adaptive limit and three attempts per hop, deadlines and cancellation, no priorities",
			Gate: GateAdaptive, HopAttempts: baselineAttempts, Deadlines: true, Cancel: true},
	}
}

// Ablations are the policies with one part of peardrift disabled.
func Ablations() []Policy {
	without := func(name string, off func(*Policy)) Policy {
		p := fullPolicy()
		p.Name, p.Description = "no-"+name, "peardrift without "+name
		off(&p)
		return p
	}
	return []Policy{
		without("chain-order", func(p *Policy) { p.ChainOrder = false }),
		without("early", func(p *Policy) { p.Early = false }),
		earlyAtEntryPolicy(),
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
		// An admission level is a threshold in the priority order, so it needs Order.
		without("order", func(p *Policy) { p.Order, p.Level = false, false }),
		without("route", func(p *Policy) { p.CorePick = false }),
	}
}

// earlyAtEntryPolicy refuses early at the entry node only. Child calls, whose request
// has already cost work, always go to the callee's gate.
func earlyAtEntryPolicy() Policy {
	p := fullPolicy()
	p.Name, p.Description, p.EarlyEntry = "early-at-entry", "peardrift with early refusal at the entry node only", true
	return p
}

// platformPolicy is peardrift with the node settings of the users' platform.
func platformPolicy() Policy {
	p := earlyAtEntryPolicy()
	p.Name, p.Description, p.Platform = "platform", "peardrift with the settings of the users' platform", true
	return p
}

// Policies lists all policies, peardrift first.
func Policies() []Policy {
	return slices.Concat([]Policy{fullPolicy(), platformPolicy()}, Baselines(), Ablations())
}

// PolicyFor returns the policy with the given name, and false if there is none.
func PolicyFor(name string) (Policy, bool) {
	all := Policies()
	i := slices.IndexFunc(all, func(p Policy) bool { return p.Name == name })
	if i < 0 {
		return Policy{}, false
	}
	return all[i], true
}
