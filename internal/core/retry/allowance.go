package retry

import "peardrift/internal/core/request"

// MaxAllowance caps an allowance, in extra attempts, so that a caller's
// malformed or hostile number can't undo the bound.
const MaxAllowance = 64

// RequestAllowance is the allowance of one request at one node, in extra attempts.
// The zero value holds nothing.
type RequestAllowance struct {
	left   int
	made   int
	repeat bool
	closed bool
}

// NewRequestAllowance returns the allowance of a request that came with the given allowance,
// cut to 0..MaxAllowance. repeat says that an earlier attempt of the same call
// may have run; then each call made below costs one.
func NewRequestAllowance(allowance int, repeat bool) RequestAllowance {
	return RequestAllowance{left: min(max(allowance, 0), MaxAllowance), repeat: repeat}
}

// Left returns the extra attempts that are left here.
func (p *RequestAllowance) Left() int { return p.left }

// Made returns the attempts made by and below this node for the request, as
// far as answers told; the node reports it upward with its answer.
func (p *RequestAllowance) Made() int { return p.made }

// Repeat reports whether this execution repeats one that may have run.
func (p *RequestAllowance) Repeat() bool { return p.repeat }

// Call is one sub-call of a request: the attempts made of it so far.
// The zero value is a call of which no attempt was made.
type Call struct {
	attempts int
	runs     int
	ran      bool
}

// Attempts returns the attempts started so far.
func (c *Call) Attempts() int { return c.attempts }

// Runs returns the attempts that got past a refusal.
func (c *Call) Runs() int { return c.runs }

// MayHaveRun reports whether some attempt got past a refusal.
func (c *Call) MayHaveRun() bool { return c.ran }

// Grant is what one attempt carries to the callee. It is settled once.
type Grant struct {
	// Allowance is the extra attempts that the callee may spend or pass on.
	Allowance int
	// Repeat tells the callee that an earlier attempt may have run.
	Repeat bool

	open bool
	paid bool // by one extra attempt
}

// Answer is what an attempt's answer says about the allowance.
type Answer struct {
	// Outcome of the attempt; Unknown if there was no whole answer.
	Outcome request.Outcome
	// Unspent is the part of the grant that the callee didn't use. Of an attempt
	// without an answer it is 0 (lost is spent), unless the outcome is Refused.
	Unspent int
	// Made is the attempts that the callee reports to have been made below it.
	Made int
	// Free: the attempt was refused before it got to a target, where such attempts
	// cost nothing (Config.RefusedFree).
	Free bool
}

// Start pays for the next attempt of c and returns what it carries. It returns
// false, and changes nothing, if the attempt must be paid for and nothing is
// left, or the allowance is closed; the call is then refused with
// status.CodeRetriesExhausted. below is the callee's usual number of calls
// (Cost.Below): a callee that makes none is given no allowance.
func (p *RequestAllowance) Start(c *Call, below int) (Grant, bool) {
	if p.closed {
		return Grant{}, false
	}
	paid := c.attempts > 0 || p.repeat
	if paid {
		if p.left == 0 {
			return Grant{}, false
		}
		p.left--
	}
	g := Grant{Repeat: p.repeat || c.ran, open: true, paid: paid}
	g.Allowance = p.take(p.share(g.Repeat, below))
	c.attempts++
	p.made++
	return g, true
}

// grantFirst is what a first execution takes along: enough for one retry where
// the failure is, little enough that a lost answer doesn't take the means to
// repeat the call with it, and that calls made side by side each get some.
const grantFirst = 1

// share is how much one attempt takes along. A repeat gets what its calls will
// cost, since each of them must be paid for, and all that is left while that is not
// known.
func (p *RequestAllowance) share(repeat bool, below int) int {
	switch {
	case below == 0 || repeat && below > 0:
		return below
	case repeat:
		return p.left
	default:
		return grantFirst
	}
}

// Settle ends an attempt and takes back the unspent part of its grant. A second
// call with the same grant does nothing (a duplicated answer must not create
// allowance), nor does one after Close (a late answer's part was already
// reported upward as spent).
func (p *RequestAllowance) Settle(c *Call, g *Grant, a Answer) {
	if !g.open {
		return
	}
	g.open = false
	if a.Outcome != request.Refused {
		c.ran = true
		c.runs++
	}
	if p.closed {
		return
	}
	p.left += min(max(a.Unspent, 0), g.Allowance)
	if a.Free && g.paid {
		p.left++ // the attempts of one call stay bounded by Config.PerCall
	}
	p.made += max(a.Made, 0)
}

// Close ends the request here and returns the unspent part, to be reported
// upward. Grants still out count as spent. Later calls change nothing.
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

// Cost is the running mean of the calls that an attempt at a callee makes
// below it, for one service and class at one node.
type Cost struct {
	mean float64
	seen bool
}

// Observe takes in the Made of an attempt that completed.
func (c *Cost) Observe(cfg *Config, made int) {
	if !c.seen {
		c.mean, c.seen = float64(made), true
		return
	}
	c.mean += cfg.CostWeight * (float64(made) - c.mean)
}

// roundDown keeps the tail of a decaying mean from counting as a whole call.
const roundDown = 0.05

// Below returns the expected number of calls below an attempt, rounded up, or
// -1 if nothing is known yet.
func (c *Cost) Below() int {
	if !c.seen {
		return -1
	}
	n := int(c.mean)
	if c.mean-float64(n) > roundDown {
		n++
	}
	return n
}
