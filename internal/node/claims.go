package node

import (
	"context"
	"sync/atomic"

	"peardrift/internal/adapter/rpc"
	"peardrift/internal/claims/shared"
	"peardrift/internal/core/member"
)

// Name and method of the control service that takes other nodes' claims.
const (
	claimsName   = "Claims"
	methodSubmit = claimsName + ".Submit"
)

// claimsService takes ops of claims whose rows this node batches. Its methods
// run on net/rpc's goroutines, whose number the server's connections bound.
type claimsService struct {
	rows  *shared.Rows
	meter *rpc.Meter
}

// Submit waits until the op is written, as long as its sender does.
func (s *claimsService) Submit(in *shared.Op, out *shared.Answer) error {
	s.meter.Waive(opBytes + len(in.Row) + len(in.Value))
	*out = s.rows.Serve(context.Background(), in)
	return nil
}

// opBytes is about what an op and its answer take besides row and value.
const opBytes = 100

// claimPeers sends ops of claims to other nodes, over connections of its own: a
// node that is slow to write claims must not break its neighbours' heartbeats.
type claimPeers struct {
	calls *rpc.Pool
	many  atomic.Bool
}

// maxHeld is up to how many nodes connections to them are kept. Each row has
// another node, so that in a large fleet the next op to the same one is far off.
const maxHeld = 64

// Submit implements shared.Peers.
func (p *claimPeers) Submit(ctx context.Context, addr string, op *shared.Op) (shared.Answer, error) {
	var ans shared.Answer
	do := p.calls.Call
	if p.many.Load() {
		do = p.calls.CallOnce
	}
	err := do(ctx, addr, methodSubmit, op, &ans)
	return ans, err
}

func (n *Node) sharedRows() *shared.Rows {
	n.claimPeers = &claimPeers{calls: rpc.NewPool(rpc.DefaultConfig(), &rpc.Meter{})}
	return shared.New(n.table, n.claimPeers, uint64(n.self.ID), n.pool, shared.DefaultConfig(), n.metrics.Scope())
}

// setBatchers takes in who may batch claims.
func (n *Node) setBatchers(v *member.View) {
	ms := batchers(v)
	n.claimPeers.many.Store(len(ms) > maxHeld)
	n.rows.SetMembers(ms)
}

// batchers returns the nodes that may batch claims. One that leaves is none: it
// hands back what it is sent.
func batchers(v *member.View) []shared.Member {
	var ms []shared.Member
	v.All(func(m member.Member) bool {
		if m.Status == member.Alive {
			ms = append(ms, shared.Member{ID: uint64(m.ID), Addr: m.Control})
		}
		return true
	})
	return ms
}
