package rpc

import (
	"context"
	"sync/atomic"

	"peardrift/internal/claims/sharedrows"
)

// ClaimsName is the name of the service that takes other nodes' claims, and
// submitMethod its one method.
const (
	ClaimsName   = "Claims"
	submitMethod = ClaimsName + ".Submit"
)

// opBytes is about what an op and its answer take besides row and value.
const opBytes = 100

// ClaimsService takes ops of claims whose rows this node batches; register it as
// ClaimsName.
type ClaimsService struct {
	serve func(context.Context, *sharedrows.Op) sharedrows.Answer
	meter *Meter
}

// NewClaimsService returns a service that passes ops to serve, on net/rpc's
// goroutines. Their bytes are waived at the server's meter.
func NewClaimsService(serve func(context.Context, *sharedrows.Op) sharedrows.Answer, meter *Meter) *ClaimsService {
	return &ClaimsService{serve: serve, meter: meter}
}

// Submit is called by net/rpc. It waits as long as the op's sender does.
func (s *ClaimsService) Submit(in *sharedrows.Op, out *sharedrows.Answer) error {
	s.meter.Waive(opBytes + len(in.Row) + len(in.Value))
	*out = s.serve(context.Background(), in)
	return nil
}

// maxHeld is up to how many nodes connections to them are kept. Each row has
// another node, so that in a large fleet the next op to the same one is far off.
const maxHeld = 64

// ClaimPeers sends ops of claims to other nodes, over connections of its own: a
// node that is slow to write claims must not break its neighbours' heartbeats.
type ClaimPeers struct {
	pool *Pool
	once atomic.Bool
}

var _ sharedrows.Peers = (*ClaimPeers)(nil)

// NewClaimPeers returns a sender without connections.
func NewClaimPeers(cfg Config) *ClaimPeers {
	return &ClaimPeers{pool: NewPool(cfg, &Meter{})}
}

// SetCount tells how many nodes there are.
func (p *ClaimPeers) SetCount(n int) { p.once.Store(n > maxHeld) }

// Submit implements shared.Peers.
func (p *ClaimPeers) Submit(ctx context.Context, addr string, op *sharedrows.Op) (sharedrows.Answer, error) {
	do := p.pool.Call
	if p.once.Load() {
		do = p.pool.CallOnce
	}
	var ans sharedrows.Answer
	if err := do(ctx, addr, submitMethod, op, &ans); err != nil {
		// The answer may be on its way into ans just now.
		return sharedrows.Answer{}, err
	}
	return ans, nil
}

// Close closes all connections; ops under way fail.
func (p *ClaimPeers) Close() { p.pool.Close() }
