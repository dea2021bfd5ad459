package dataplane

import (
	"math"
	"net/http"

	"github.com/cloudwego/hertz/pkg/protocol"

	"peardrift/internal/wire"
)

// targetNotice is a notice with the instance that gave it.
type targetNotice struct {
	instance string
	wire.Notice
}

// OnNotice sets the function that is called when the own target's answers say something
// else than before: that it accepts fewer or more requests, or that it leaves. Call it
// before traffic begins; f must not block.
func (e *Engine) OnNotice(f func(instance string, n wire.Notice)) { e.onNotice = f }

// readNotice applies what an answer says of the own target. instance is the one that the
// request was addressed to; another one refuses it as misdirected.
func (e *Engine) readNotice(instance string, resp *protocol.Response) {
	d := &e.cfg.Dialect
	if d.RateLimit == nil && d.Leaving == nil || resp.StatusCode() == http.StatusMisdirectedRequest {
		return
	}
	n, ok := d.GetNotice(&resp.Header)
	l := e.targetState.Load()
	if !ok || l == nil || l.Instance != instance {
		return
	}
	if n.Leaving {
		e.stopCalls(l)
	}
	next := targetNotice{instance, n}
	old := e.notice.Load()
	if old == nil || old.instance != instance {
		old = &targetNotice{instance, wire.Notice{RateLimit: math.Inf(1)}}
	}
	if *old == next {
		return
	}
	e.notice.Store(&next)
	e.gate.setRateLimit(n.RateLimit)
	e.onNotice(instance, n)
}

// stopCalls sends no further calls to a target that leaves. The announced state follows
// later and is checked again with each answer, since a report may arrive in between.
func (e *Engine) stopCalls(l *TargetState) {
	stopped := *l
	stopped.AcceptsCalls = false
	if l.AcceptsCalls && e.targetState.CompareAndSwap(l, &stopped) {
		e.notice.Store(nil)
		e.gate.drain()
	}
}
