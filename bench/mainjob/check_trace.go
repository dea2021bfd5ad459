package mainjob

import (
	"peardrift/bench/standin/target"
	"peardrift/internal/status"
)

// Values of the hop and outcome attributes of spans.
const (
	hopEntry   = "entry"
	hopEgress  = "egress"
	hopAttempt = "attempt"
	hopServe   = "serve"

	outcomeCompleted = "completed"
)

// checkTrace returns an error that names the first hop of a completed request without a
// span in its trace, or nil if the trace is complete. The expected hops come from the
// answer, which lists all calls made for the request.
func checkTrace(spans []*span, a target.Answer) error {
	roots := linkSpans(spans)
	if len(roots) != 1 || roots[0].hop != hopEntry || roots[0].service != a.Service {
		return status.New(CodeTrace, "the trace has %d roots; expected a single entry span of %s", len(roots), a.Service)
	}
	return checkSpansBelow(roots[0], a)
}

// checkSpansBelow checks the spans below an entry or egress span, down to the target that
// answered.
func checkSpansBelow(call *span, a target.Answer) error {
	attempt := findCompleted(call.children, hopAttempt, a.Service)
	if attempt == nil {
		return status.New(CodeTrace, "no completed attempt span for %s below the %s span", a.Service, call.hop)
	}
	serve := findCompleted(attempt.children, hopServe, a.Service)
	if serve == nil {
		return status.New(CodeTrace, "no completed serve span of %s", a.Service)
	}
	unmatched := serve.children
	for _, r := range a.Calls {
		egress := findCompleted(unmatched, hopEgress, r.Service)
		if egress == nil || r.Answer == nil {
			return status.New(CodeTrace, "no completed egress span from %s to %s", a.Service, r.Service)
		}
		if err := checkSpansBelow(egress, *r.Answer); err != nil {
			return err
		}
		unmatched = removeSpan(unmatched, egress)
	}
	return nil
}

// findCompleted returns the first completed span of a hop and service, or nil.
func findCompleted(spans []*span, hop, service string) *span {
	for _, s := range spans {
		if s.hop == hop && s.service == service && s.outcome == outcomeCompleted {
			return s
		}
	}
	return nil
}

func removeSpan(spans []*span, s *span) []*span {
	var out []*span
	for _, x := range spans {
		if x != s {
			out = append(out, x)
		}
	}
	return out
}
