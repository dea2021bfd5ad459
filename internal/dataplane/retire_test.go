package dataplane

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
)

// Symptom: after a stop has begun, a call is answered 502 while the target below
// works on it. Events: the request on whose behalf it was made ends first. Cause:
// a node that cancels calls on its own while it is to let them end.
func TestCallsEndByThemselvesOnceTheNodeStops(t *testing.T) {
	is := is.New(t)
	synctest.Test(t, func(t *testing.T) {
		for _, stopping := range []bool{false, true} {
			e := &Engine{}
			if stopping {
				e.Retire()
			}
			within, end := context.WithCancel(context.Background())
			ctx, cancel := context.WithCancel(context.Background())
			done := e.until(within, cancel)
			end()
			synctest.Wait()
			is.Equal(ctx.Err() == nil, stopping)
			done()
			is.True(ctx.Err() != nil)
		}
	})
}
