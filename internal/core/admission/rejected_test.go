package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// rejectingTarget runs calls through a gate at 2,000 a second for a while. Each send is
// rejected with the probability that reject returns. The given part of the calls is sent
// again 3 ms later until the target takes them; the others end with their rejection. A
// call that is taken runs for 20 ms. It returns the fraction of the time in which the
// limit was below low, and the last limit.
func rejectingTarget(g *Gate, length time.Duration, resent float64, low int, reject func(now time.Duration, atTarget int) float64) (below float64, last int) {
	const step = 500 * time.Microsecond
	type call struct {
		ticket Ticket
		due    time.Duration
		taken  bool
	}
	rng := rand.New(rand.NewPCG(1, 1))
	var calls []call
	var out []Action
	var lowFor time.Duration
	atTarget := 0
	start := func(now time.Duration, t Ticket) { calls = append(calls, call{ticket: t, due: now}) }
	for now := step; now < length; now += step {
		var d Decision
		t := Ticket(now / step)
		d, out = g.Arrive(now, Arrival{Ticket: t, Priority: prio(50, uint16(t*7919)), Deadline: now + time.Second}, out[:0])
		if d.Verdict == Admit {
			start(now, t)
		}
		for i := 0; i < len(calls); {
			c := &calls[i]
			rejected := rng.Float64() < reject(now, atTarget)
			switch {
			case c.due > now:
				i++
			case c.taken:
				atTarget--
				out = g.Finish(now, c.ticket, OK, 0, out)
				calls = append(calls[:i], calls[i+1:]...)
			case rejected && Ticket(100*resent) <= c.ticket%100:
				out = g.Finish(now, c.ticket, Overloaded, 0, out)
				calls = append(calls[:i], calls[i+1:]...)
			case rejected:
				g.Rejected()
				c.due += 3 * time.Millisecond
				i++
			default:
				atTarget++
				c.taken, c.due = true, now+20*time.Millisecond
				i++
			}
		}
		for _, a := range out {
			if a.Decision.Verdict == Admit {
				start(now, a.Ticket)
			}
		}
		if g.Stats().Limit < low {
			lowFor += step
		}
	}
	return lowFor.Seconds() / length.Seconds(), g.Stats().Limit
}

// resentPart is the part of the calls that a budget of 0.18 resends for each first send
// covers where 55 of 100 sends are rejected, and each call thus needs 1.22 resends.
const resentPart = 0.15

// Guards against a limit near nothing for the seconds in which a target rejects calls
// regardless of their load.
func TestLoadIndependentRejectionsKeepTheLimit(t *testing.T) {
	is := is.New(t)
	const from, until = time.Second, 9500 * time.Millisecond
	below, _ := rejectingTarget(newGate(100), until, resentPart, 50, func(now time.Duration, _ int) float64 {
		if now < from {
			return 0
		}
		return 0.55
	})
	is.True(below < 0.34)
}

// Guards against hiding an overload from the limit by sending rejected calls again until
// the target takes them: a target with a tenth of its declared slots must get few.
func TestRejectionsOfAFullTargetCutTheLimit(t *testing.T) {
	is := is.New(t)
	const slots = 10
	_, last := rejectingTarget(newGate(10*slots), 5*time.Second, 1, 0, func(_ time.Duration, atTarget int) float64 {
		if atTarget >= slots {
			return 1
		}
		return 0
	})
	is.True(last <= 2*slots)
}
