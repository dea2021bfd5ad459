package cli

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"peardrift/internal/adapter/rpc"
	"peardrift/internal/adapter/rpc/adminapi"
	"peardrift/internal/status"
)

// checkNodes refuses addresses that no node can have, before anything is tried:
// a mistyped one would look like a node that is down.
func checkNodes(addrs []string) error {
	for _, addr := range addrs {
		if a, err := netip.ParseAddrPort(addr); err != nil || a.Port() == 0 {
			return status.New(status.CodeInvalidSettings,
				"--node must be an IP address with a port, such as 10.0.0.1:7403, is %q", addr)
		}
	}
	return nil
}

// nodeTimeout bounds one call to a node: a node that doesn't answer must not
// hold up the report of an apply that was accepted.
const nodeTimeout = 3 * time.Second

// nodesAtOnce bounds the nodes that are called at a time.
const nodesAtOnce = 32

// each calls f for each address and returns when all calls have. One after the
// other, a few nodes that are down would use up the command's time, and those
// named after them look down too.
func each(addrs []string, f func(i int, addr string)) {
	var wg sync.WaitGroup
	free := make(chan struct{}, nodesAtOnce)
	for i, addr := range addrs {
		free <- struct{}{}
		wg.Go(func() {
			defer func() { <-free }()
			f(i, addr)
		})
	}
	wg.Wait()
}

// RPCNodes calls nodes by net/rpc; for Env.Nodes.
type RPCNodes struct{ pool *rpc.Pool }

var _ Nodes = (*RPCNodes)(nil)

// NewRPCNodes returns a caller without connections.
func NewRPCNodes() *RPCNodes {
	return &RPCNodes{pool: rpc.NewPool(rpc.DefaultConfig(), &rpc.Meter{})}
}

// Close ends the connections.
func (n *RPCNodes) Close() { n.pool.Close() }

// Head implements Nodes.
func (n *RPCNodes) Head(ctx context.Context, addr string, args adminapi.HeadArgs) (adminapi.HeadReply, error) {
	ctx, cancel := context.WithTimeout(ctx, nodeTimeout)
	defer cancel()
	var reply adminapi.HeadReply
	err := n.pool.CallOnce(ctx, addr, adminapi.MethodHead, &args, &reply)
	return reply, err
}

// Status implements Nodes.
func (n *RPCNodes) Status(ctx context.Context, addr string) (adminapi.StatusReply, error) {
	ctx, cancel := context.WithTimeout(ctx, nodeTimeout)
	defer cancel()
	var reply adminapi.StatusReply
	err := n.pool.CallOnce(ctx, addr, adminapi.MethodStatus, &adminapi.StatusArgs{}, &reply)
	return reply, err
}
