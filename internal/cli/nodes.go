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

// validateNodeAddrs rejects malformed addresses before any call: a mistyped one
// would otherwise look like a node that is down.
func validateNodeAddrs(addrs []string) error {
	for _, addr := range addrs {
		if a, err := netip.ParseAddrPort(addr); err != nil || a.Port() == 0 {
			return status.New(status.CodeInvalidSettings,
				"--node must be an IP address with a port, such as 10.0.0.1:7403, not %q", addr)
		}
	}
	return nil
}

// nodeTimeout limits one call to a node, so that an unresponsive node doesn't
// delay the result of an accepted apply.
const nodeTimeout = 3 * time.Second

// maxConcurrentNodes limits concurrent calls to nodes.
const maxConcurrentNodes = 32

// forEachNode calls f concurrently for each address and returns when all calls
// have returned. Called sequentially, a few nodes that are down would use up the
// command's timeout, and the nodes after them would appear down too.
func forEachNode(addrs []string, f func(i int, addr string)) {
	var wg sync.WaitGroup
	semaphore := make(chan struct{}, maxConcurrentNodes)
	for i, addr := range addrs {
		semaphore <- struct{}{}
		wg.Go(func() {
			defer func() { <-semaphore }()
			f(i, addr)
		})
	}
	wg.Wait()
}

// RPCNodes implements Nodes over net/rpc.
type RPCNodes struct{ pool *rpc.Pool }

var _ Nodes = (*RPCNodes)(nil)

// NewRPCNodes returns an RPCNodes without open connections.
func NewRPCNodes() *RPCNodes {
	return &RPCNodes{pool: rpc.NewPool(rpc.DefaultConfig(), &rpc.Meter{})}
}

// Close closes the connections.
func (n *RPCNodes) Close() { n.pool.Close() }

// NotifyHead implements Nodes.
func (n *RPCNodes) NotifyHead(ctx context.Context, addr string, args adminapi.HeadArgs) (adminapi.HeadReply, error) {
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
