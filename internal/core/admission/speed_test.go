package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"peardrift/internal/status"
)

// Guards against expected times that follow a stated slowdown late, and against estimates
// that stay changed once it has ended: requests that can't finish in time would run, and
// after it requests that can would be refused.
func TestExpectedTimesFollowTimeFactor(t *testing.T) {
	is := is.New(t)
	const slots, imp = 4, 50
	g := newGate(slots)
	now := trainGate(g, 40*ms)
	usual := g.service.estimate(imp)
	g.SetTimeFactor(2.5)
	is.Equal(g.service.estimate(imp).Round(ms), (usual * 5 / 2).Round(ms))
	fill(g, now, slots-1)
	// With nearly all slots in use, 100 ms are needed and 70 ms are left.
	d, _ := g.Arrive(now, Arrival{Ticket: 1, Priority: prio(imp, 0), Deadline: now + 70*ms}, nil)
	is.Equal(d.Verdict, Admit)
	d, _ = g.Arrive(now, Arrival{Ticket: 2, Priority: prio(imp, 0), Deadline: now + 70*ms}, nil)
	is.Equal(d.Reason, status.CodeDeadline)
	now += 100 * ms
	g.Finish(now, 1, OK, 0, nil)
	for i := range slots - 1 {
		g.Finish(now, Ticket(1000+i), OK, 0, nil)
	}
	for i := range 6 { // 600 ms
		g.Arrive(now, Arrival{Ticket: Ticket(2000 + i), Priority: prio(imp, 0)}, nil)
		now += 100 * ms
		g.Finish(now, Ticket(2000+i), OK, 0, nil)
	}
	g.SetTimeFactor(1)
	is.Equal(g.service.estimate(imp).Round(ms), usual.Round(ms))
}

// Guards against a limit that is cut because of a slowdown that the target states: its
// slots are all usable, and a lower limit would only leave them free.
func TestStatedSlowdownKeepsLimit(t *testing.T) {
	is := is.New(t)
	const slots = 16
	g := newGate(slots)
	before := g.Stats().Limit
	now, next := time.Duration(0), Ticket(0)
	for phase := range 40 {
		factor := 1.0
		if phase%5 == 4 {
			factor = 2.5
		}
		g.SetTimeFactor(factor)
		for end := now + 600*ms; now < end; now += time.Duration(factor * float64(40*ms)) {
			for range slots {
				next++
				g.Arrive(now, Arrival{Ticket: next, Priority: prio(50, uint16(next))}, nil)
			}
			for i := range slots {
				g.Finish(now+time.Duration(factor*float64(40*ms)), next-Ticket(i), OK, 0, nil)
			}
		}
	}
	is.Equal(g.Stats().Limit, before)
}

// Guards against a false statement that removes the estimates.
func TestTimeFactorIsBounded(t *testing.T) {
	is := is.New(t)
	g := newGate(4)
	trainGate(g, 40*ms)
	for _, f := range []float64{0, -1, 1e9} {
		g.SetTimeFactor(f)
		e := g.service.estimate(50)
		is.True(e >= 4*ms && e <= 400*ms)
	}
}
