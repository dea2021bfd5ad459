package admission

import (
	"testing"
	"time"

	"peardrift/internal/core/request"
)

func TestUsualPathAllocatesNothing(t *testing.T) {
	g := newGate(64)
	now, id := time.Duration(0), Ticket(0)
	var out []Action
	n := testing.AllocsPerRun(10000, func() {
		now += 100 * time.Microsecond
		id++
		_, out = g.Arrive(now, Arrival{Ticket: id, Priority: prio(50, uint16(id*7919)), Deadline: now + time.Second}, out[:0])
		out = g.Finish(now+50*time.Microsecond, id, OK, out[:0])
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
		out = g.Finish(now+50*time.Microsecond, t, OK, out[:0])
	}
}

// BenchmarkSaturated: 10,000 requests wait; each arrival goes through the full
// queue and each completion starts the next one.
func BenchmarkSaturated(b *testing.B) {
	const queued = 10_000
	g := newGate(64, func(c *Config) { c.QueueLimit, c.MaxWait = queued, time.Hour })
	fill(g, 0, 64)
	running := make([]Ticket, 0, 64)
	for i := range 64 {
		running = append(running, Ticket(1000+i))
	}
	var out []Action
	id := Ticket(1 << 20)
	for range queued {
		id++
		g.Arrive(0, Arrival{Ticket: id, Priority: prio(importanceOf(id), uint16(id*7919))}, nil)
	}
	now := time.Duration(0)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now += 100 * time.Microsecond
		id++
		_, out = g.Arrive(now, Arrival{Ticket: id, Priority: prio(importanceOf(id), uint16(id*7919))}, out[:0])
		out = g.Finish(now, running[i%64], OK, out[:0])
		for _, a := range out {
			if a.Verdict == Admit {
				running[i%64] = a.Ticket
			}
		}
	}
	b.ReportMetric(float64(g.queue.len()), "queued")
}

func importanceOf(t Ticket) request.Importance { return request.Importance(t * 31 % 101) }
