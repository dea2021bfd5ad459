package retry

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"peardrift/internal/core/request"
)

// call is one position in a call graph: a call and the calls it makes.
type call struct {
	kids []*call
	size int
}

func drawGraph(rng *rand.Rand, depth int) *call {
	c := &call{size: 1}
	if depth == 0 {
		return c
	}
	for range rng.IntN(4) {
		k := drawGraph(rng, depth-1)
		c.kids = append(c.kids, k)
		c.size += k.size
	}
	return c
}

// fate is what happens to one attempt.
type fate int

const (
	completes fate = iota
	refused
	neverArrives     // connection broken, the callee saw nothing
	answerLost       // ran, its answer is lost
	answerDuplicated // ran, its answer comes twice
	answerLate       // the caller gives up, the callee runs later and answers late
	fails            // ran and failed
	fates
)

// chain runs a request over a graph; every failed attempt is made again as long
// as the allowance pays for it, which is the worst that any decider can do.
type chain struct {
	rng      *rand.Rand
	attempts int
	reached  map[*call]bool
	later    []func() // zombies: executions that their callers gave up on
}

func (ch *chain) call(c *call, p *RequestAllowance) {
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

// attempt plays one attempt and reports whether the caller is content.
func (ch *chain) attempt(c *call, p *RequestAllowance, sub *Call, g *Grant) bool {
	lost := Answer{Outcome: request.Unknown}
	switch f := fate(ch.rng.IntN(int(fates))); f {
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
		ch.later = append(ch.later, func() { p.Settle(sub, g, ch.run(c, carried)) })
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

// run executes a call at its callee with what the attempt carried.
func (ch *chain) run(c *call, g Grant) Answer {
	p := NewRequestAllowance(g.Allowance, g.Repeat)
	for _, k := range c.kids {
		ch.call(k, &p)
	}
	return Answer{Outcome: request.Completed, Made: p.Made(), Unspent: p.Close()}
}

func (ch *chain) runLater(all bool) {
	for len(ch.later) > 0 && (all || ch.rng.IntN(2) == 0) {
		f := ch.later[0]
		ch.later = ch.later[1:]
		f()
	}
}

// Symptom: one slow lookup deep in a chain turns into dozens of calls.
// Events: each hop retries on its own; answers are lost, late or duplicated,
// executions that their callers gave up on go on making calls.
// Cause: no hop knows what the others spent. The allowance bounds the sum.
func TestChainBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		depth := rapid.IntRange(0, 4).Draw(t, "depth")
		a := rapid.IntRange(0, 12).Draw(t, "allowance")
		for range 100 { // requests
			ch := &chain{rng: rng, reached: map[*call]bool{}}
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
	is.True(!again.Repeat) // refused: nothing ran yet
	p.Settle(&b, &gb, Answer{})
	repeat, _ := p.Start(&b, 2)
	is.True(repeat.Repeat)
	is.Equal(repeat.Allowance, 2) // what its two calls will cost
	is.Equal(p.Close(), 1)        // 1 + 1 went for a, 1 + 2 for b
	p.Settle(&a, &again, Answer{Unspent: 1})
	is.Equal(p.Left(), 0) // too late
	_, ok = p.Start(&a, 0)
	is.True(!ok)
}

func TestRequestAllowanceUnspentIsCapped(t *testing.T) {
	is := is.New(t)
	p := NewRequestAllowance(1000, false)
	is.Equal(p.Left(), MaxAllowance)
	p = NewRequestAllowance(2, false)
	var c Call
	g, _ := p.Start(&c, -1)
	p.Settle(&c, &g, Answer{Outcome: request.Completed, Unspent: 50})
	is.Equal(p.Left(), 2) // a callee can't hand back more than it got
}

// Guards against a repeat that fails halfway for want of allowance while others' costs
// are not known: it has to pay for each call that it makes.
func TestARepeatOfUnknownCostTakesAllThatIsLeft(t *testing.T) {
	is := is.New(t)
	entry := NewRequestAllowance(4, false)
	var call Call
	var unknown Cost
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
	is.Equal(entry.Left(), 0) // 4, less a lost grant, the repeat and its two calls
}
