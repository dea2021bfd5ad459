package dataplane

import (
	"testing"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/matryer/is"
)

// Symptom: a target's call is paid by another request's allowance, or begins a
// request of its own. Events: a request runs on the target three times at once,
// and its runs end in any order. Cause: the end of one takes others off the
// register.
func TestRunsOfOneRequestEndInAnyOrder(t *testing.T) {
	for _, order := range [][]int{{0, 1, 2}, {2, 1, 0}, {1, 0, 2}, {1, 2, 0}, {0, 2, 1}, {2, 0, 1}} {
		is := is.New(t)
		r, id := newRegistry(), newID()
		var runs []*running
		for range 3 {
			runs = append(runs, &running{id: id, span: newSpan()})
			r.add(runs[len(runs)-1])
		}
		left := map[*running]bool{runs[0]: true, runs[1]: true, runs[2]: true}
		for _, i := range order {
			r.remove(runs[i])
			r.remove(runs[i]) // does no harm
			delete(left, runs[i])
			for x := range left {
				is.Equal(r.parent(id, x.span), x)
			}
			is.Equal(left[r.parent(id, runs[i].span)], len(left) > 0) // by the trace alone
		}
		is.Equal(len(r.byID), 0)
	}
}

// Symptom: a call is refused as one without a trace, its answer is taken for
// another call's, or a peer does not know it when asked. Events: a node writes a
// call's trace, and the next reads it. Cause: they don't agree on its form.
func TestTraceIsReadAsItWasWritten(t *testing.T) {
	for _, sampled := range []bool{true, false} {
		is := is.New(t)
		tc := traceContext{newID(), newSpan(), sampled}
		var h protocol.RequestHeader
		tc.set(&h)
		got, ok := traceOf(&h)
		is.True(ok)
		is.Equal(got, tc)
		is.Equal(Prober{}.Tag(&h), tc.span.String())
		is.True(tc.span.is([]byte(tc.span.String())))
		is.True(!tc.span.is([]byte(newSpan().String())) && !tc.span.is(nil))
	}
}
