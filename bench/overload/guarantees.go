package overload

import (
	"peardrift/bench/standin/client"
	"peardrift/internal/status"
)

// CodeBroken: something did not hold that must.
const CodeBroken status.Code = "overload-broken"

// Broken counts what must never be. Straight targets promise none of it.
type Broken struct {
	Twice    int // at-most-once requests that ran more than once
	FalseNot int // requests that were told "refused" only, and ran
	Wrong    int // answers that were another request's
	Partial  int // answers that ended as if they were whole
	NoRun    int // completed requests without a run
}

// Err returns the first promise that was broken.
func (b Broken) Err() error {
	if b == (Broken{}) {
		return nil
	}
	return status.New(CodeBroken, "%d ran twice, %d were falsely told not run, %d wrong and %d partial answers, %d completed without a run",
		b.Twice, b.FalseNot, b.Wrong, b.Partial, b.NoRun)
}

// judge holds what callers were told against what ran.
func (l *Lab) judge(p *played) (b Broken, err error) {
	begun, err := l.begun(p.nodes)
	if err != nil {
		return b, err
	}
	work, err := l.work(p.nodes)
	if err != nil {
		return b, err
	}
	for mark, as := range p.attempts {
		class := l.Case.Dep.Class(as[0].Class)
		own := begun[[2]string{l.Case.full(class.Root.Service), mark}]
		if class.AtMostOnce && own > 1 {
			b.Twice++
		}
		if falselyRefused(as, work[mark]) {
			b.FalseNot++
		}
		for _, a := range as {
			switch {
			case a.Result == client.Wrong:
				b.Wrong++
			case a.Result == client.Partial:
				b.Partial++
			case a.Result == client.Completed && own == 0:
				b.NoRun++
			}
		}
	}
	return b, nil
}

// falselyRefused reports whether something ran while the caller had been told
// nothing but refusals: until the first attempt that ended otherwise. A target
// that the harness killed lacks its last runs; none is.
func falselyRefused(as []client.Attempt, runs []run) bool {
	if len(runs) == 0 {
		return false
	}
	for _, a := range as {
		if a.Result != client.Refused {
			return runs[0].began.Before(a.At)
		}
	}
	return true
}
