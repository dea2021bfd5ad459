package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"peardrift/internal/core/request"
	"peardrift/internal/status"
)

const ms = time.Millisecond

func newGate(slots int, change ...func(*Config)) *Gate {
	cfg := DefaultConfig()
	cfg.Slots = slots
	cfg.Limit.InitialFraction = 1
	for _, f := range change {
		f(&cfg)
	}
	return New(cfg, rand.New(rand.NewPCG(1, 2)))
}

func prio(imp request.Importance, hash uint16) request.Priority {
	return request.Priority(imp)<<16 | request.Priority(hash)
}

// fill occupies n slots with tickets from 1000.
func fill(g *Gate, now time.Duration, n int) {
	for i := range n {
		g.Arrive(now, Arrival{Ticket: Ticket(1000 + i), Priority: prio(50, 0)}, nil)
	}
}

func TestQueueOrder(t *testing.T) {
	is := is.New(t)
	g := newGate(1)
	fill(g, 0, 1)
	for i, a := range []Arrival{
		{Priority: prio(10, 9)}, {Priority: prio(90, 1)}, {Priority: prio(10, 1), Deep: true},
		{Priority: prio(90, 2)}, {Priority: prio(90, 1)},
	} {
		a.Ticket = Ticket(i)
		d, _ := g.Arrive(0, a, nil)
		is.Equal(d.Verdict, Queue)
	}
	var got []Ticket
	last := Ticket(1000)
	for range 5 {
		out := g.Finish(ms, last, OK, nil)
		is.Equal(len(out), 1)
		is.Equal(out[0].Verdict, Admit)
		last = out[0].Ticket
		got = append(got, last)
	}
	is.Equal(got, []Ticket{3, 1, 4, 2, 0})
}

func TestFullQueuePushesOutTheLeastImportant(t *testing.T) {
	is := is.New(t)
	g := newGate(1, func(c *Config) { c.QueueLimit = 2 })
	fill(g, 0, 1)
	g.Arrive(0, Arrival{Ticket: 1, Priority: prio(20, 0)}, nil)
	g.Arrive(0, Arrival{Ticket: 2, Priority: prio(30, 0)}, nil)

	d, out := g.Arrive(0, Arrival{Ticket: 3, Priority: prio(10, 0)}, nil)
	is.Equal(d.Verdict, Refuse)
	is.Equal(d.Reason, status.CodeOverloaded)
	is.True(d.RetryAfter >= time.Second)
	is.Equal(len(out), 0)

	d, out = g.Arrive(0, Arrival{Ticket: 4, Priority: prio(40, 0)}, nil)
	is.Equal(d.Verdict, Queue)
	is.Equal(len(out), 1)
	is.Equal(out[0].Ticket, Ticket(1))
	is.Equal(out[0].Verdict, Refuse)
}
