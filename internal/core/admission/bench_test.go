package admission

import (
	"testing"
	"time"

	"peardrift/internal/core/request"
)

func TestAdmitAndFinishDoNotAllocate(t *testing.T) {
	g := newGate(64)
	now, id := time.Duration(0), Ticket(0)
	var out []Action
	n := testing.AllocsPerRun(10000, func() {
		now += 100 * time.Microsecond
		id++
		_, out = g.Arrive(now, Arrival{Ticket: id, Priority: prio(50, uint16(id*7919)), Deadline: now + time.Second}, out[:0])
		out = g.Finish(now+50*time.Microsecond, id, OK, 0, out[:0])
	})
	if n != 0 {
		t.Fatalf("%v allocations per request, want 0", n)
	}
}

func BenchmarkUncontended(b *testing.B) {
	g := newGate(64)
	var out []Action
	now := time.Duration(0)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now += 100 * time.Microsecond
		t := Ticket(i)
		_, out = g.Arrive(now, Arrival{Ticket: t, Priority: prio(50, uint16(i*7919)), Deadline: now + time.Second}, out[:0])
		out = g.Finish(now+50*time.Microsecond, t, OK, 0, out[:0])
	}
}

// BenchmarkSaturated keeps 10,000 requests queued: each arrival evicts one from the
// full queue, each completion starts the next.
func BenchmarkSaturated(b *testing.B) {
	const queued, slots = 10_000, 64
	g := newGate(slots, func(c *Config) {
		c.QueueLimit, c.MaxWait, c.StandingDelay = queued, 1000*time.Hour, 1000*time.Hour
	})
	var running []Ticket
	var out []Action
	id, now := Ticket(0), time.Duration(0)
	arrive := func() {
		id++
		var d Decision
		d, out = g.Arrive(now, Arrival{Ticket: id, Priority: prio(importanceOf(id), uint16(id*7919))}, out[:0])
		if d.Verdict == Admit {
			running = append(running, id)
		}
	}
	for range queued + slots {
		arrive()
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now += 100 * time.Microsecond
		arrive()
		arrive() // the first replaces the request that starts, the second evicts one
		out = g.Finish(now, running[i%slots], OK, 0, out[:0])
		running[i%slots] = out[len(out)-1].Ticket
	}
	if g.queue.len() < queued-1 {
		b.Fatalf("%d requests queued", g.queue.len())
	}
}

func importanceOf(t Ticket) request.Importance { return request.Importance(t * 31 % 101) }

// BenchmarkRefusal measures the refusal of an arrival below the admission level.
func BenchmarkRefusal(b *testing.B) {
	g := newGate(64, func(c *Config) { c.MinWindow = 1000 * time.Hour })
	g.levels.tenant(0).level = prio(50, 0)
	var out []Action
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		_, out = g.Arrive(time.Duration(i), Arrival{Ticket: Ticket(i), Priority: prio(40, uint16(i))}, out[:0])
	}
}

// BenchmarkWindow measures what closing a window adds to the decision that triggers
// it, with two tenants in overload.
func BenchmarkWindow(b *testing.B) {
	g := newGate(64)
	m := windowStats{length: 50 * ms, limit: 64, utilization: 1, standingQueue: true, service: 0.01, reaction: &g.reaction}
	for t := range 2 {
		d := &g.levels.tenant(t).demand
		for i := range d.rate {
			d.rate[i] = 10
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		for t := range 2 {
			copy(g.levels.tenant(t).demand.arrived[:], g.levels.tenant(t).demand.rate[:])
		}
		g.levels.endWindow(m, &g.ledger, 0.85)
	}
}
