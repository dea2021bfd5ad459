package dataplane

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
)

// Guards against a stopping node that cancels calls itself: when the request that a
// call belongs to ended first, the call got a 502 while its downstream target still
// worked.
func TestStoppingNodeDoesNotCancelCalls(t *testing.T) {
	is := is.New(t)
	synctest.Test(t, func(t *testing.T) {
		for _, stopping := range []bool{false, true} {
			e := &Engine{}
			if stopping {
				e.BeginStop()
			}
			parent, endParent := context.WithCancel(context.Background())
			ctx, cancel := context.WithCancel(context.Background())
			done := e.cancelWithParent(parent, new(parentLink), cancel)
			endParent()
			synctest.Wait()
			is.Equal(ctx.Err() == nil, stopping)
			done()
			is.True(ctx.Err() != nil)
		}
	})
}
