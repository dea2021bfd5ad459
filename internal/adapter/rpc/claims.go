package rpc

import (
	"context"
	"sync/atomic"

	"peardrift/internal/claims/sharedrows"
)

// ClaimsName is the name of the service that receives other nodes' claims, and
// submitMethod its only method.
const (
	ClaimsName   = "Claims"
	submitMethod = ClaimsName + ".Submit"
)

// opOverheadBytes is the approximate encoded size of an op and its answer without
// row and value.
const opOverheadBytes = 100

// ClaimsService receives claim operations on the rows that this node batches;
// register it as ClaimsName.
type ClaimsService struct {
	serve func(context.Context, *sharedrows.Op) sharedrows.Answer
	meter *Meter
}

// NewClaimsService returns a service that passes ops to serve, on net/rpc's
// goroutines. Their bytes are excluded from the meter's TakeBytes.
func NewClaimsService(serve func(context.Context, *sharedrows.Op) sharedrows.Answer, meter *Meter) *ClaimsService {
	return &ClaimsService{serve: serve, meter: meter}
}

// Submit is called by net/rpc. It blocks as long as the op's sender waits for
// the answer.
func (s *ClaimsService) Submit(in *sharedrows.Op, out *sharedrows.Answer) error {
	s.meter.Exclude(opOverheadBytes + len(in.Row) + len(in.Value))
	*out = s.serve(context.Background(), in)
	return nil
}

// maxPooledNodes is the largest fleet in which connections are kept open. Rows
// are spread over all nodes, so in a larger fleet ops to the same node are too
// rare for a connection to be reused.
const maxPooledNodes = 64

// ClaimPeers sends claim operations to other nodes. It uses separate connections,
// so that a node that is slow to write claims doesn't break heartbeats.
type ClaimPeers struct {
	pool    *Pool
	oneShot atomic.Bool
}

var _ sharedrows.Peers = (*ClaimPeers)(nil)

// NewClaimPeers returns a sender without connections.
func NewClaimPeers(cfg Config) *ClaimPeers {
	return &ClaimPeers{pool: NewPool(cfg, &Meter{})}
}

// SetNodeCount sets the number of nodes in the fleet.
func (p *ClaimPeers) SetNodeCount(n int) { p.oneShot.Store(n > maxPooledNodes) }

// Submit implements sharedrows.Peers.
func (p *ClaimPeers) Submit(ctx context.Context, addr string, op *sharedrows.Op) (sharedrows.Answer, error) {
	call := p.pool.Call
	if p.oneShot.Load() {
		call = p.pool.CallOnce
	}
	var ans sharedrows.Answer
	if err := call(ctx, addr, submitMethod, op, &ans); err != nil {
		// After a timeout the connection's goroutine may still be writing to ans.
		return sharedrows.Answer{}, err
	}
	return ans, nil
}

// Close closes all connections; in-flight ops fail.
func (p *ClaimPeers) Close() { p.pool.Close() }
