package mainjob

import (
	"peardrift/bench/standin/target"
	"peardrift/internal/status"
)

// Hops as they stand in spans.
const (
	hopEntry   = "entry"
	hopEgress  = "egress"
	hopAttempt = "attempt"
	hopServe   = "serve"

	outcomeCompleted = "completed"
)

// lacks says which hop of a completed request its trace has no span for; nil if
// it has them all. What the request did is known from its answer, which tells
// all calls that were made for it.
func lacks(spans []*span, a target.Answer) error {
	roots := tree(spans)
	if len(roots) != 1 || roots[0].hop != hopEntry || roots[0].service != a.Service {
		return status.New(CodeTrace, "the trace has %d roots, not the entry of %s alone", len(roots), a.Service)
	}
	return lacksBelow(roots[0], a)
}

// lacksBelow follows an entry or egress down to the target that answered.
func lacksBelow(call *span, a target.Answer) error {
	attempt := completed(call.children, hopAttempt, a.Service)
	if attempt == nil {
		return status.New(CodeTrace, "no completed attempt at %s below the %s", a.Service, call.hop)
	}
	serve := completed(attempt.children, hopServe, a.Service)
	if serve == nil {
		return status.New(CodeTrace, "no span of %s serving its call", a.Service)
	}
	left := serve.children
	for _, r := range a.Calls {
		egress := completed(left, hopEgress, r.Service)
		if egress == nil || r.Answer == nil {
			return status.New(CodeTrace, "no completed call from %s to %s", a.Service, r.Service)
		}
		if err := lacksBelow(egress, *r.Answer); err != nil {
			return err
		}
		left = without(left, egress)
	}
	return nil
}

// completed returns the first completed span of a hop to a service.
func completed(spans []*span, hop, service string) *span {
	for _, s := range spans {
		if s.hop == hop && s.service == service && s.outcome == outcomeCompleted {
			return s
		}
	}
	return nil
}

func without(spans []*span, s *span) []*span {
	var out []*span
	for _, x := range spans {
		if x != s {
			out = append(out, x)
		}
	}
	return out
}
