package rpc

import (
	"context"
	"time"

	"peardrift/internal/core/member"
	"peardrift/internal/status"
)

// GossipName is the name of the membership service, and exchangeMethod its one
// method. The name has a number, since messages travel as arrays: nodes whose
// messages have other fields must not take them for their own.
const (
	GossipName     = "Gossip2"
	exchangeMethod = GossipName + ".Exchange"
)

// GossipService answers membership exchanges; register it as GossipName.
type GossipService struct {
	handle func(*member.Message) *member.Message
}

// NewGossipService returns a service that passes requests to handle. handle
// runs on many goroutines; it hands the message to the one that owns the State
// and returns its reply, or nil if there is none.
func NewGossipService(handle func(*member.Message) *member.Message) *GossipService {
	return &GossipService{handle: handle}
}

// Exchange is called by net/rpc.
func (g *GossipService) Exchange(in, out *member.Message) error {
	r := g.handle(in)
	if r == nil {
		return status.New(status.CodeMalformed, "membership message makes no sense")
	}
	*out = *r
	return nil
}

// Carrier carries out the actions of a member.State.
type Carrier struct {
	pool   *Pool
	submit func(func()) error
	post   func(func(s *member.State, now time.Duration))
}

// NewCarrier returns a carrier. submit runs a function on another goroutine and
// fails if there is none left (an ants pool's Submit); post runs one on the
// goroutine that owns the State, with the present time.
func NewCarrier(pool *Pool, submit func(func()) error, post func(func(*member.State, time.Duration))) *Carrier {
	return &Carrier{pool: pool, submit: submit, post: post}
}

// Do carries out actions. It doesn't block; outcomes are posted later.
func (c *Carrier) Do(actions []member.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case member.Exchange:
			c.exchange(a)
		case member.Disconnect:
			c.disconnect(a)
		}
	}
}

func (c *Carrier) exchange(x member.Exchange) {
	// Without a free goroutine the exchange is dropped; State takes an exchange
	// without an outcome as failed after a while.
	_ = c.submit(func() {
		ctx, cancel := context.WithTimeout(context.Background(), x.Timeout)
		defer cancel()
		do := c.pool.Call
		if x.Once {
			do = c.pool.CallOnce
		}
		reply := &member.Message{}
		if err := do(ctx, x.To.ControlAddr, exchangeMethod, x.Msg, reply); err != nil {
			c.fail(x.To)
			return
		}
		c.post(func(s *member.State, now time.Duration) { s.HandleReply(now, x.To, reply) })
	})
}

func (c *Carrier) fail(to member.Peer) {
	c.post(func(s *member.State, now time.Duration) { s.HandleFailure(now, to) })
}

func (c *Carrier) disconnect(d member.Disconnect) {
	if err := c.submit(func() { c.pool.Drop(d.Peer.ControlAddr) }); err != nil {
		c.pool.Drop(d.Peer.ControlAddr) // a connection that stays would cost for good
	}
}
