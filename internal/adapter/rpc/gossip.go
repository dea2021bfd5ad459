package rpc

import (
	"context"
	"time"

	"peardrift/internal/core/member"
	"peardrift/internal/status"
)

// GossipName is the name of the membership service, and exchangeMethod its only
// method. The name carries a protocol version: messages are encoded as arrays
// without field names, so a node must not decode messages of another layout.
const (
	GossipName     = "Gossip2"
	exchangeMethod = GossipName + ".Exchange"
)

// GossipService answers membership exchanges; register it as GossipName.
type GossipService struct {
	handle func(*member.Message) *member.Message
}

// NewGossipService returns a service that passes requests to handle. handle is
// called concurrently; it passes the message to the goroutine that owns the
// State and returns the reply, or nil if there is none.
func NewGossipService(handle func(*member.Message) *member.Message) *GossipService {
	return &GossipService{handle: handle}
}

// Exchange is called by net/rpc. It fails if handle returns no reply.
func (g *GossipService) Exchange(in, out *member.Message) error {
	r := g.handle(in)
	if r == nil {
		return status.New(status.CodeMalformed, "membership message is malformed")
	}
	*out = *r
	return nil
}

// ActionExecutor executes the actions of a member.State.
type ActionExecutor struct {
	pool   *Pool
	submit func(func()) error
	post   func(func(s *member.State, now time.Duration))
}

// NewActionExecutor returns an executor that sends calls over pool. submit runs a
// function on another goroutine and fails if none is available (such as Submit of an
// ants pool); post runs a function with the current time on the goroutine that owns
// the State.
func NewActionExecutor(pool *Pool, submit func(func()) error, post func(func(*member.State, time.Duration))) *ActionExecutor {
	return &ActionExecutor{pool: pool, submit: submit, post: post}
}

// Execute executes actions. It doesn't block; outcomes are posted later.
func (e *ActionExecutor) Execute(actions []member.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case member.Exchange:
			e.exchange(a)
		case member.Disconnect:
			e.disconnect(a)
		}
	}
}

func (e *ActionExecutor) exchange(x member.Exchange) {
	// If no goroutine is available, the exchange is dropped; State counts an
	// exchange without an outcome as failed after a timeout.
	_ = e.submit(func() {
		ctx, cancel := context.WithTimeout(context.Background(), x.Timeout)
		defer cancel()
		call := e.pool.Call
		if x.Once {
			call = e.pool.CallOnce
		}
		reply := &member.Message{}
		if err := call(ctx, x.To.ControlAddr, exchangeMethod, x.Msg, reply); err != nil {
			e.fail(x.To)
			return
		}
		e.post(func(s *member.State, now time.Duration) { s.HandleReply(now, x.To, reply) })
	})
}

func (e *ActionExecutor) fail(to member.Peer) {
	e.post(func(s *member.State, now time.Duration) { s.HandleFailure(now, to) })
}

func (e *ActionExecutor) disconnect(d member.Disconnect) {
	if err := e.submit(func() { e.pool.Drop(d.Peer.ControlAddr) }); err != nil {
		e.pool.Drop(d.Peer.ControlAddr) // otherwise the unused connection would stay open
	}
}
