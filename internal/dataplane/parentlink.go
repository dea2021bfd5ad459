package dataplane

import (
	"context"
	"sync/atomic"

	"peardrift/internal/adapter/hertzhttp"
)

// parentLink decides which comes first: the end of a call's parent request, which cancels
// the call, or the call's answer. An answer that is being passed on must not be cut off:
// its head has told the target that it succeeds. A call without a parent has a nil link.
type parentLink struct {
	state atomic.Int32
}

const (
	linkAttached int32 = iota
	linkDetached       // the answer is passed on
	linkCanceled       // the parent has ended, and the call with it
)

// detach makes the call outlast its parent; it returns false if the call has been
// canceled.
func (l *parentLink) detach() bool {
	return l == nil || l.state.CompareAndSwap(linkAttached, linkDetached)
}

// tryCancel reports whether the call is to be canceled because its parent has ended.
func (l *parentLink) tryCancel() bool { return l.state.CompareAndSwap(linkAttached, linkCanceled) }

// cancelWithParent calls cancel when the parent context ends, unless the link has been
// detached, and returns the function to call in place of cancel. Without it, a request
// whose target makes calls for minutes would keep state of each of them until it ends.
//
// Once the node is stopping, it leaves ending such calls to the target, which notices
// its own closed connection and closes the call soon enough. If the node canceled
// them, a caller that left in the seconds after the stop began would make it answer a
// call with a failure of its own while the downstream target still works on it.
func (e *Engine) cancelWithParent(parent context.Context, link *parentLink, cancel context.CancelFunc) context.CancelFunc {
	stop := hertzhttp.AfterFunc(parent, func() {
		if !e.retiring.Load() && link.tryCancel() {
			cancel()
		}
	})
	return func() {
		stop()
		cancel()
	}
}
