package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"peardrift/internal/core/request"
)

// setDemand gives an importance an evenly distributed demand.
func (d *demand) setDemand(imp int, rate float64) {
	for i := imp * hashBuckets; i < (imp+1)*hashBuckets; i++ {
		d.total += rate/hashBuckets - float64(d.rate[i])
		d.rate[i] = float32(rate / hashBuckets)
	}
}

// admitted returns the demand that a level and its exemptions admit.
func (d *demand) admitted(level request.Level, x exemptions) (sum float64) {
	for imp := range importances {
		visible := importanceStart(imp+1) - x.visibleFrom(imp, level)
		sum += d.ofImportance(imp) * float64(visible) / importanceWidth
	}
	return sum
}

// Guards against refusing all of an importance that needs a tenth of the capacity because
// higher ones need more than all of it.
func TestSmallImportanceIsExemptFromTheLevel(t *testing.T) {
	is := is.New(t)
	var d demand
	d.setDemand(100, 1000)
	d.setDemand(90, 100)
	d.setDemand(80, 2000)
	level, x := d.levelFor(900, 180)
	is.Equal(level.Importance(), request.Importance(100))
	is.True(x.admit(prio(90, 0)))
	is.True(!x.admit(prio(80, 0xffff)))
	is.True(!x.admit(prio(100, 0)))
	admitted := d.admitted(level, x)
	is.True(admitted > 890 && admitted <= 901)
}

// Guards against an exemption that lets a flood of low importance displace higher ones.
func TestFloodIsNotExempt(t *testing.T) {
	is := is.New(t)
	var d demand
	d.setDemand(100, 1000)
	last := 1.0
	for _, flood := range []float64{180, 200, 300, 600, 2000} {
		d.setDemand(10, flood)
		_, x := d.levelFor(900, 180)
		from := x.visibleFrom(10, importanceStart(100))
		part := float64(importanceStart(11)-from) / importanceWidth
		is.True(part <= last)
		is.True(part*flood <= 180.1)
		last = part
	}
	is.Equal(last, 0.0)
}

// Guards against an index beyond the highest importance when nothing at all fits.
func TestExemptionsWithoutCapacity(t *testing.T) {
	is := is.New(t)
	var d demand
	d.setDemand(100, 10)
	level, _ := d.levelFor(0, 1)
	is.Equal(level, request.MaxPriority)
}

func TestExemptionsFitTheReserve(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var d demand
		for _, imp := range []int{0, 10, 40, 41, 90, 100} {
			d.setDemand(imp, float64(rapid.IntRange(0, 1000).Draw(t, "demand")))
		}
		capacity := float64(rapid.IntRange(1, 4000).Draw(t, "capacity"))
		reserved := capacity * rapid.Float64Range(0, 0.5).Draw(t, "share")
		level, x := d.levelFor(capacity, reserved)
		const rounding = 1
		if got := d.admitted(level, x); got > capacity+rounding {
			t.Fatalf("admits %.1f of a capacity of %.1f", got, capacity)
		}
		if got := d.admitted(request.MaxPriority, x); got > reserved+rounding {
			t.Fatalf("exempts %.1f of a reserve of %.1f", got, reserved)
		}
		if len(x) > maxExempt {
			t.Fatalf("%d exemptions", len(x))
		}
	})
}

// Guards against forgetting the demand of an exempt importance: below the level nothing
// used to be counted.
func TestExemptDemandIsMeasured(t *testing.T) {
	is := is.New(t)
	var d demand
	level, x := importanceStart(100), exemptions{importanceStart(90)}
	for range 20 {
		for h := range 160 {
			d.record(prio(90, uint16(h*importanceWidth/160)), 1)
		}
		d.endWindow(time.Second, level, x, 1)
	}
	asked := d.ofImportance(90)
	is.True(asked > 155 && asked < 165)
}

func TestGateAdmitsExemptArrivals(t *testing.T) {
	is := is.New(t)
	g := newGate(4)
	tn := g.levels.tenant(0)
	tn.level, tn.exempt = prio(100, 0), exemptions{prio(90, 0x8000)}
	verdict := func(ticket Ticket, p request.Priority) Verdict {
		d, _ := g.Arrive(0, Arrival{Ticket: ticket, Priority: p}, nil)
		return d.Verdict
	}
	is.Equal(verdict(1, prio(90, 0x8000)), Admit)
	is.Equal(verdict(2, prio(90, 0x7fff)), Refuse)
	is.Equal(verdict(3, prio(80, 0xffff)), Refuse)
	is.Equal(verdict(4, prio(100, 0)), Admit)
	level, exempt := g.TenantLevel(0)
	is.Equal(level, prio(100, 0))
	is.Equal(exempt, []request.Level{prio(90, 0x8000)})
}
