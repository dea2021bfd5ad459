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
func (e *Engine) readNotice(instance []byte, resp *protocol.Response) {
	d := &e.cfg.Dialect
	if d.RateLimit == nil && d.Leaving == nil || resp.StatusCode() == http.StatusMisdirectedRequest {
		return
	}
	l := e.targetState.Load()
	if l == nil || l.Instance != string(instance) {
		return
	}
	n, ok := d.GetNotice(&resp.Header)
	if !ok {
		return
	}
	if n.Leaving {
		e.stopCalls(l)
	}
	last := wire.Notice{RateLimit: math.Inf(1)}
	if old := e.notice.Load(); old != nil && old.instance == l.Instance {
		last = old.Notice
	}
	if n == last {
		return
	}
	e.notice.Store(&targetNotice{l.Instance, n})
	e.gate.setRateLimit(n.RateLimit)
	e.onNotice(l.Instance, n)
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
