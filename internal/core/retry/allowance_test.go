package retry

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"peardrift/internal/core/request"
	"peardrift/internal/status"
)

// call is a node of a call graph: a call and the calls it makes.
type call struct {
	children []*call
	size     int
}

func drawGraph(rng *rand.Rand, depth int) *call {
	c := &call{size: 1}
	if depth == 0 {
		return c
	}
	for range rng.IntN(4) {
		k := drawGraph(rng, depth-1)
		c.children = append(c.children, k)
		c.size += k.size
	}
	return c
}

// attemptResult is what happens to one attempt.
type attemptResult int

const (
	completes attemptResult = iota
	refused
	neverArrives     // the connection broke before the callee received it
	answerLost       // ran, its answer is lost
	answerDuplicated // ran, its answer comes twice
	answerLate       // the caller times out, the callee runs and answers later
	fails            // ran and failed
	numResults
)

// graphRun runs a request over a call graph. It retries every failed attempt for as
// long as the allowance lasts, which is the worst that any retry policy can do.
type graphRun struct {
	rng      *rand.Rand
	attempts int
	reached  map[*call]bool
	late     []func() // executions whose callers timed out
}

func (ch *graphRun) call(c *call, p *RequestAllowance) {
	var sub Call
	for {
		ch.runLater(false)
		below := [...]int{-1, 0, c.size - 1}[ch.rng.IntN(3)]
		g, ok := p.Start(&sub, below)
		if !ok {
			return
		}
		ch.attempts++
		ch.reached[c] = true
		if ch.attempt(c, p, &sub, &g) {
			return
		}
	}
}

// attempt simulates one attempt and reports whether the caller accepts the result.
func (ch *graphRun) attempt(c *call, p *RequestAllowance, sub *Call, g *Grant) bool {
	lost := Answer{Outcome: request.Unknown}
	switch f := attemptResult(ch.rng.IntN(int(numResults))); f {
	case refused:
		p.Settle(sub, g, Answer{Outcome: request.Refused, Unspent: g.Allowance})
		return ch.rng.IntN(2) == 0
	case neverArrives:
		p.Settle(sub, g, lost)
		return false
	case answerLost:
		ch.run(c, *g)
		p.Settle(sub, g, lost)
		return false
	case answerLate:
		carried := *g
		p.Settle(sub, g, lost)
		ch.late = append(ch.late, func() { p.Settle(sub, g, ch.run(c, carried)) })
		return false
	default:
		a := ch.run(c, *g)
		p.Settle(sub, g, a)
		if f == answerDuplicated {
			p.Settle(sub, g, a)
		}
		return f != fails
	}
}

// run executes a call at its callee with the grant of the attempt.
func (ch *graphRun) run(c *call, g Grant) Answer {
	p := NewRequestAllowance(g.Allowance, g.Repeat)
	for _, k := range c.children {
		ch.call(k, &p)
	}
	return Answer{Outcome: request.Completed, AttemptsMade: p.AttemptsMade(), Unspent: p.Close()}
}

func (ch *graphRun) runLater(all bool) {
	for len(ch.late) > 0 && (all || ch.rng.IntN(2) == 0) {
		f := ch.late[0]
		ch.late = ch.late[1:]
		f()
	}
}

// Guards against retry amplification: each hop retries on its own while answers are
// lost, late or duplicated and abandoned executions go on making calls. The allowance
// bounds the attempts of all hops together.
func TestChainBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		depth := rapid.IntRange(0, 4).Draw(t, "depth")
		a := rapid.IntRange(0, 12).Draw(t, "allowance")
		for range 100 { // requests
			ch := &graphRun{rng: rng, reached: map[*call]bool{}}
			entry := NewRequestAllowance(a, false)
			ch.call(drawGraph(rng, depth), &entry)
			entry.Close()
			ch.runLater(true)
			if ch.attempts > len(ch.reached)+a {
				t.Fatalf("%d attempts for %d calls with allowance %d", ch.attempts, len(ch.reached), a)
			}
		}
	})
}

func TestRequestAllowanceSplit(t *testing.T) {
	is := is.New(t)
	p := NewRequestAllowance(6, false)
	var a, b Call
	ga, ok := p.Start(&a, -1)
	is.True(ok)
	is.Equal(ga.Allowance, 1)
	gb, _ := p.Start(&b, 0)
	is.Equal(gb.Allowance, 0) // a leaf needs none
	is.Equal(p.Left(), 5)
	p.Settle(&a, &ga, Answer{Outcome: request.Refused, Unspent: 1})
	is.Equal(p.Left(), 6)
	again, _ := p.Start(&a, -1)
	is.True(!again.Repeat) // after a refusal the next attempt is no repeat
	p.Settle(&b, &gb, Answer{})
	repeat, _ := p.Start(&b, 2)
	is.True(repeat.Repeat)
	is.Equal(repeat.Allowance, 2) // one for each of its two calls
	is.Equal(p.Close(), 1)        // 1 + 1 spent on a, 1 + 2 on b
	p.Settle(&a, &again, Answer{Unspent: 1})
	is.Equal(p.Left(), 0) // settled after Close
	_, ok = p.Start(&a, 0)
	is.True(!ok)
}

func TestRequestAllowanceCapsUnspent(t *testing.T) {
	is := is.New(t)
	p := NewRequestAllowance(1000, false)
	is.Equal(p.Left(), MaxAllowance)
	p = NewRequestAllowance(2, false)
	var c Call
	g, _ := p.Start(&c, -1)
	p.Settle(&c, &g, Answer{Outcome: request.Completed, Unspent: 50})
	is.Equal(p.Left(), 2) // a callee can't return more than its grant
}

// Guards against a repeat that runs out of allowance halfway, since it pays for each
// call below it, while the number of these calls is unknown.
func TestRepeatOfUnknownCostGetsWholeAllowance(t *testing.T) {
	is := is.New(t)
	entry := NewRequestAllowance(4, false)
	var call Call
	var unknown CallCount
	first, ok := entry.Start(&call, unknown.Below())
	is.True(ok)
	entry.Settle(&call, &first, Answer{Outcome: request.Unknown}) // its grant is lost
	again, ok := entry.Start(&call, unknown.Below())
	is.True(ok)
	is.True(again.Repeat)
	run := NewRequestAllowance(again.Allowance, again.Repeat)
	for range 2 {
		var sub Call
		g, ok := run.Start(&sub, 0)
		is.True(ok)
		run.Settle(&sub, &g, Answer{Outcome: request.Completed})
	}
	entry.Settle(&call, &again, Answer{Outcome: request.Completed, Unspent: run.Close()})
	is.Equal(entry.Left(), 0) // 4, minus the lost grant, the repeat and its two calls
}

// Guards against calls that fail although no attempt of theirs reached a target: the next
// attempt was charged as an extra one, and a call made by a target seldom has any.
func TestAttemptsThatReachNoTargetCostNothing(t *testing.T) {
	is := is.New(t)
	cfg := DefaultConfig()
	cfg.FreeRefusals = true
	d, b := NewDecider(&cfg, rand.New(rand.NewPCG(1, 2))), ServiceBudget{cfg: &cfg}
	p := NewRequestAllowance(0, false)
	var c Call
	for c.Attempts() < cfg.PerCall {
		g, ok := p.Start(&c, 0)
		is.True(ok)
		p.Settle(&c, &g, Answer{Outcome: request.Refused,
			Free: cfg.Free(request.Refused, status.CodeConnectFailed), Unreached: cfg.Unreached(request.Refused, status.CodeConnectFailed)})
		got := d.Decide(0, &Result{Outcome: request.Refused, Code: status.CodeConnectFailed, Attempts: c.Attempts(), AllowanceLeft: p.Left()}, &b)
		is.Equal(got.Retry(), c.Attempts() < cfg.PerCall)
	}
	for _, code := range []status.Code{status.CodeTargetShed, status.CodeOverloaded} { // refused for load
		var c Call
		g, ok := p.Start(&c, 0)
		is.True(ok)
		p.Settle(&c, &g, Answer{Outcome: request.Refused, Free: cfg.Free(request.Refused, code), Unreached: cfg.Unreached(request.Refused, code)})
		_, ok = p.Start(&c, 0)
		is.True(!ok)
	}
}
