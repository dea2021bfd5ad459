package dataplane

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
)

// Guards against a parent request that cancels a call whose answer is passed on, and
// against an answer that begins after its call was canceled.
func TestParentLinkKeepsWhatCameFirst(t *testing.T) {
	for name, detachFirst := range map[string]bool{"the answer": true, "the parent's end": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				e, link := &Engine{}, new(parentLink)
				parent, endParent := context.WithCancel(t.Context())
				ctx, cancel := context.WithCancel(t.Context())
				done := e.cancelWithParent(parent, link, cancel)
				if detachFirst {
					is.True(link.detach())
				}
				endParent()
				synctest.Wait()
				is.Equal(link.detach(), false)
				is.Equal(ctx.Err() == nil, detachFirst)
				done()
			})
		})
	}
}
