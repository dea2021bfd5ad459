package soak

import (
	"time"

	"peardrift/bench/standin/client"
	"peardrift/internal/status"
)

// holdSlack is how long after its deadline a request may be answered: the way of the answer
// on a busy machine. A node that is suspended can't answer, which adds the suspension.
const holdSlack = 1500 * time.Millisecond

// runCounts counts the runs of a request by service.
type runCounts map[string]int

// check compares what callers were told with what ran, for all requests.
func (f *fleet) check(ld *load, p Plan, started time.Time) error {
	all, err := f.Runs()
	if err != nil {
		return err
	}
	runs := map[string]runCounts{}
	for _, r := range all {
		if runs[r.Mark] == nil {
			runs[r.Mark] = runCounts{}
		}
		runs[r.Mark][r.Service]++
	}
	for mark, as := range ld.attempts {
		for _, a := range as {
			if err := checkAttempt(a, runs[mark], p, a.At.Sub(started)); err != nil {
				return err
			}
		}
		if err := checkRequest(as[len(as)-1], runs[mark]); err != nil {
			return err
		}
	}
	return nil
}

// checkAttempt checks one answer and its time. at is when the attempt began.
func checkAttempt(a client.Attempt, runs runCounts, p Plan, at time.Duration) error {
	switch {
	case a.Result == client.Wrong || a.Result == client.Partial:
		return status.Wrap(CodeViolated, a.Err, "%s at %v: %s answer", a.RequestMark, at, a.Result)
	case a.Result == client.Completed && len(runs) == 0:
		return status.New(CodeViolated, "%s at %v: completed without a run", a.RequestMark, at)
	case a.Latency > deadline+holdSlack+p.suspended(at, at+a.Latency):
		return status.New(CodeViolated, "%s at %v: held for %v, the deadline is %v; %s, %v", a.RequestMark, at, a.Latency, deadline, a.Result, a.Err)
	}
	return nil
}

// checkRequest checks the runs of a request against its last attempt.
func checkRequest(last client.Attempt, runs runCounts) error {
	once := last.Class == "note" || last.Class == "pay"
	for service, n := range runs {
		if once && n > 1 {
			return status.New(CodeViolated, "%s: ran %d times at %s", last.RequestMark, n, service)
		}
	}
	if last.Result == client.Refused && len(runs) > 0 {
		return status.New(CodeViolated, "%s at %v: refused as %s, but ran: %v", last.RequestMark, last.At.Format(time.StampMilli), last.Code, runs)
	}
	return nil
}

// suspended returns for how long nodes were suspended between two times, added up over nodes.
func (p Plan) suspended(from, to time.Duration) (d time.Duration) {
	for _, e := range p.Events {
		if e.Kind == Suspend {
			d += max(0, min(to, e.At+e.For)-max(from, e.At))
		}
	}
	return d
}
