package overload

import (
	"peardrift/bench/standin/client"
	"peardrift/internal/status"
)

// CodeGuaranteeViolated means that a guarantee was violated.
const CodeGuaranteeViolated status.Code = "overload-broken"

// Violations counts violations of the guarantees. Targets without nodes give none of them.
type Violations struct {
	DuplicateRuns       int // at-most-once requests that ran more than once
	FalseRefusals       int // requests that ran although their callers had only seen refusals
	WrongAnswers        int // answers that belong to another request
	PartialAnswers      int // truncated answers that ended like complete ones
	CompletedWithoutRun int // completed requests without a run
}

// Err returns an error with all counts if any guarantee was violated, else nil.
func (v Violations) Err() error {
	if v == (Violations{}) {
		return nil
	}
	return status.New(CodeGuaranteeViolated, "%d ran more than once, %d were refused but ran, %d wrong and %d partial answers, %d completed without a run",
		v.DuplicateRuns, v.FalseRefusals, v.WrongAnswers, v.PartialAnswers, v.CompletedWithoutRun)
}

// checkGuarantees compares the outcomes that callers saw with the runs at targets.
func (l *Lab) checkGuarantees(p *playback) (v Violations, err error) {
	begun, err := l.startedRuns(p.nodes)
	if err != nil {
		return v, err
	}
	work, err := l.finishedRuns(p.nodes)
	if err != nil {
		return v, err
	}
	for mark, as := range p.attempts {
		class := l.Case.Deployment.Class(as[0].Class)
		own := begun[[2]string{l.Case.fullName(class.Root.Service), mark}]
		if class.AtMostOnce && own > 1 {
			v.DuplicateRuns++
		}
		if falselyRefused(as, work[mark]) {
			v.FalseRefusals++
		}
		for _, a := range as {
			switch {
			case a.Result == client.Wrong:
				v.WrongAnswers++
			case a.Result == client.Partial:
				v.PartialAnswers++
			case a.Result == client.Completed && own == 0:
				v.CompletedWithoutRun++
			}
		}
	}
	return v, nil
}

// falselyRefused reports whether a run began while the caller had seen only refusals,
// that is, before the first attempt with another result. The last runs of a killed
// target would be missing, but the harness kills no target.
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
