package retry

import "peardrift/internal/core/request"

// MaxAllowance caps an allowance, in extra attempts, so that a malformed or hostile
// value from a caller can't lift the bound.
const MaxAllowance = 64

// RequestAllowance is the number of extra attempts that one request may still make at
// one node. The zero value allows none.
type RequestAllowance struct {
	left   int
	made   int
	repeat bool
	closed bool
}

// NewRequestAllowance returns the allowance of a request that arrived with the given
// number of extra attempts, clamped to 0..MaxAllowance. repeat reports that an earlier
// attempt of the same call may have run; each call made below then costs one.
func NewRequestAllowance(allowance int, repeat bool) RequestAllowance {
	return RequestAllowance{left: min(max(allowance, 0), MaxAllowance), repeat: repeat}
}

// Left returns the remaining extra attempts.
func (p *RequestAllowance) Left() int { return p.left }

// AttemptsMade returns the attempts made for the request by this node and below it, as
// far as answers reported them. The node reports it upstream with its answer.
func (p *RequestAllowance) AttemptsMade() int { return p.made }

// Repeat reports whether this execution repeats one that may have run.
func (p *RequestAllowance) Repeat() bool { return p.repeat }

// Call counts the attempts of one sub-call of a request. The zero value is a call
// without attempts.
type Call struct {
	attempts   int
	unreached  int // attempts that reached no target, see Answer.Unreached
	runs       int
	mayHaveRun bool
}

// Attempts returns the attempts started so far.
func (c *Call) Attempts() int { return c.attempts }

// NotRefused returns the attempts that weren't refused.
func (c *Call) NotRefused() int { return c.runs }

// MayHaveRun reports whether any attempt wasn't refused.
func (c *Call) MayHaveRun() bool { return c.mayHaveRun }

// Grant is what one attempt carries to the callee. It is settled once.
type Grant struct {
	// Allowance is the extra attempts that the callee may spend or pass on.
	Allowance int
	// Repeat tells the callee that an earlier attempt may have run.
	Repeat bool

	unsettled bool
	charged   bool // cost one extra attempt
}

// Answer is what the answer to an attempt reports about the allowance.
type Answer struct {
	// Outcome of the attempt; Unknown without a complete answer.
	Outcome request.Outcome
	// Unspent is the unused part of the grant. Without an answer it is 0, because a
	// lost grant counts as spent, unless the outcome is Refused.
	Unspent int
	// AttemptsMade is the number of attempts that the callee reports below it.
	AttemptsMade int
	// Free is set if the attempt was refused before it reached a target and such
	// attempts cost nothing (Config.FreeRefusals).
	Free bool
	// Unreached is set if there was no target that could have taken the attempt
	// (Config.Unreached). It is then not counted as the call's first one.
	Unreached bool
}

// Start charges the next attempt of c, unless it is the first that may reach a target, and
// returns what it carries. It returns false, and changes nothing, if the attempt costs an
// extra attempt and none is left, or if the allowance is closed; the call is then refused
// with status.CodeRetriesExhausted.
// below is the expected number of calls that the callee makes (CallCount.Below); a callee
// that makes none gets no allowance.
func (p *RequestAllowance) Start(c *Call, below int) (Grant, bool) {
	if p.closed {
		return Grant{}, false
	}
	paid := c.attempts > c.unreached || p.repeat
	if paid {
		if p.left == 0 {
			return Grant{}, false
		}
		p.left--
	}
	g := Grant{Repeat: p.repeat || c.mayHaveRun, unsettled: true, charged: paid}
	g.Allowance = p.take(p.grantSize(g.Repeat, below))
	c.attempts++
	p.made++
	return g, true
}

// firstGrant is the allowance that a first execution carries: enough for one retry
// close to the failure, and little enough that a lost answer leaves the caller the
// means to repeat the call and that parallel calls each get some.
const firstGrant = 1

// grantSize returns the allowance that one attempt carries. A repeat gets as many as it
// has calls below, since each of them costs one, or all that is left while that number
// is unknown.
func (p *RequestAllowance) grantSize(repeat bool, below int) int {
	switch {
	case below == 0 || repeat && below > 0:
		return below
	case repeat:
		return p.left
	default:
		return firstGrant
	}
}

// Settle ends an attempt and returns the unspent part of its grant to the allowance. A
// second call with the same grant does nothing, so that a duplicated answer can't
// create allowance. After Close nothing is returned, because the grant was already
// reported upstream as spent.
func (p *RequestAllowance) Settle(c *Call, g *Grant, a Answer) {
	if !g.unsettled {
		return
	}
	g.unsettled = false
	if a.Outcome != request.Refused {
		c.mayHaveRun = true
		c.runs++
	}
	if a.Unreached {
		c.unreached++ // Config.PerCall still bounds the attempts of the call
	}
	if p.closed {
		return
	}
	p.left += min(max(a.Unspent, 0), g.Allowance)
	if a.Free && g.charged {
		p.left++
	}
	p.made += max(a.AttemptsMade, 0)
}

// Close ends the request at this node and returns the unspent part, to be reported
// upstream. Outstanding grants count as spent. Later calls change nothing.
func (p *RequestAllowance) Close() int {
	n := p.left
	p.left, p.closed = 0, true
	return n
}

func (p *RequestAllowance) take(n int) int {
	n = min(max(n, 0), p.left)
	p.left -= n
	return n
}

// CallCount is the moving average of the number of calls that an attempt at a callee makes
// below it, for one service and class at one node.
type CallCount struct {
	mean     float64
	observed bool
}

// Observe records Answer.AttemptsMade of a completed attempt.
func (c *CallCount) Observe(cfg *Config, made int) {
	if !c.observed {
		c.mean, c.observed = float64(made), true
		return
	}
	c.mean += cfg.CostWeight * (float64(made) - c.mean)
}

// roundingTolerance keeps the tail of a decaying mean from counting as a whole call.
const roundingTolerance = 0.05

// Below returns the expected number of calls below an attempt, rounded up, or -1
// without observations.
func (c *CallCount) Below() int {
	if !c.observed {
		return -1
	}
	n := int(c.mean)
	if c.mean-float64(n) > roundingTolerance {
		n++
	}
	return n
}
