package node

import (
	"cmp"
	"context"
	"errors"
	"syscall"

	"github.com/cloudwego/hertz/pkg/app"
	"go.uber.org/zap"

	"peardrift/internal/adapter/hertzhttp"
	"peardrift/internal/adapter/listen"
	"peardrift/internal/core/configset"
	"peardrift/internal/settings"
	"peardrift/internal/status"
)

// limitClients puts the limits of a configuration in force for callers and the own target.
func (n *Node) limitClients(stated configset.ClientLimits) {
	own := n.clientLimits()
	l := hertzhttp.Limits{
		HeaderBytes:   cmp.Or(stated.HeaderBytes, own.HeaderBytes),
		HeaderTimeout: cmp.Or(stated.HeaderTimeout, own.HeaderTimeout),
		IdleTimeout:   cmp.Or(stated.IdleTimeout, own.IdleTimeout),
	}
	for _, s := range []*hertzhttp.Server{n.servers.callers, n.servers.target} {
		if s != nil {
			s.SetLimits(l)
		}
	}
}

// listenerSpec describes one HTTP listener to open.
type listenerSpec struct {
	key, addr string
	server    **hertzhttp.Server
	handle    hertzhttp.Handler
	conns     *hertzhttp.ConnLimit
}

// listen opens all listeners. Its error joins the failures of those that can't be opened.
func (n *Node) listen() error {
	cfg := hertzhttp.DefaultServerConfig()
	own := n.clientLimits()
	cfg.MaxHeaderBytes, cfg.HeaderTimeout, cfg.IdleTimeout = own.HeaderBytes, own.HeaderTimeout, own.IdleTimeout
	cfg.BufferBytes = n.settings.Traffic.BufferBytes
	callers := hertzhttp.NewConnLimit(n.connectionLimit(callersShare))
	inner := hertzhttp.NewConnLimit(n.connectionLimit(nodesShare))
	ops := hertzhttp.NewConnLimit(opsConnections)
	if memory := n.settings.Limits.MemoryBytes; memory > 0 {
		callers.MemoryBytes, inner.MemoryBytes, ops.MemoryBytes = memory/callersMemory, memory/nodesMemory, memory/opsMemory
	}
	n.conns.limits = map[string]*hertzhttp.ConnLimit{"callers": callers, "nodes": inner, "ops": ops}
	l := n.settings.Listen
	var failed []error
	all := []listenerSpec{
		{"listen.nodes", l.Nodes, &n.servers.nodes, n.engine.ServeNode, inner},
		{"listen.ops", l.Ops, &n.servers.ops, n.serveOps, ops},
	}
	if l.Target == l.Callers {
		all = append(all, listenerSpec{"listen.callers", l.Callers, &n.servers.callers, n.engine.ServeOutbound, callers})
	} else {
		all = append(all, listenerSpec{"listen.callers", l.Callers, &n.servers.callers, n.engine.ServeCaller, callers},
			listenerSpec{"listen.target", l.Target, &n.servers.target, n.engine.ServeTarget, inner})
	}
	if l.Reports != "" && n.integration != nil {
		all = append(all, listenerSpec{"listen.reports", l.Reports, &n.servers.reports, n.integration.Reports(n.handleReport, n.logRefusedReport), ops})
	}
	if l.Ready != "" {
		all = append(all, listenerSpec{"listen.ready", l.Ready, &n.servers.ready, func(_ context.Context, c *app.RequestContext) { n.serveReady(c) }, ops})
	}
	for _, f := range all {
		nodes := f.server == &n.servers.nodes
		cfg.Conns, cfg.NoDate, cfg.CompressHeaders = f.conns, nodes, nodes
		cfg.MaxHeaderBytes = own.HeaderBytes
		if nodes {
			cfg.MaxHeaderBytes = maxForwardedHeader
		}
		cfg.MaxBodyBytes = 0
		if f.conns == ops {
			cfg.MaxBodyBytes = maxReport
		}
		s, err := hertzhttp.Listen(f.addr, cfg, f.handle)
		if err != nil {
			failed = append(failed, status.Wrap(status.CodeListen, status.From(err).Cause, "%s", f.key))
			continue
		}
		*f.server = s
	}
	var err error
	if n.controlListener, err = listen.Open(l.Control); err != nil {
		failed = append(failed, status.Wrap(status.CodeListen, status.From(err).Cause, "listen.control"))
	}
	return errors.Join(failed...)
}

const (
	// opsConnections bounds the operators' connections. They have a limit of their own,
	// so that callers that use up theirs don't lock operators out.
	opsConnections = 64
	// reservedDescriptors is the number of file descriptors kept for other uses than
	// traffic.
	reservedDescriptors = 64
	// Shares of the descriptors for connections from callers and from nodes; the rest is
	// for outgoing connections, one per call in flight. Callers get the largest share:
	// the own target may hold a connection for each request that it runs, and as many
	// again that it closes late. With a quarter each (1,009 connections), the last
	// remaining target of a service was refused calls that it needed: it held up to
	// 1,400. A call from another node holds a connection from its arrival, so nodes need
	// room for running and queued calls: with a fifth (807), nodes with targets of 267
	// slots closed up to 365 connections per second in a surge, and each left a call
	// with an unknown outcome.
	callersShare   = 0.4
	nodesShare     = 0.3
	minConnections = 8

	// The memory limit divided by these is for requests that callers, nodes and operators
	// send; see hertzhttp.ConnLimit.MemoryBytes.
	callersMemory = 4
	nodesMemory   = 8
	opsMemory     = 32

	// maxReport limits the bodies of reports and of operators' requests.
	maxReport = 64 << 10

	// maxForwardedHeader limits the header of a call from another node. That node has
	// limited it before and has added its own fields.
	maxForwardedHeader = settings.MaxHeaderBytes + 64<<10
)

// clientLimits returns the limits that the settings set for what clients send.
func (n *Node) clientLimits() hertzhttp.Limits {
	t := n.settings.Traffic
	return hertzhttp.Limits{HeaderBytes: t.MaxHeaderBytes, HeaderTimeout: t.HeaderTimeout, IdleTimeout: t.IdleTimeout}
}

// connectionLimit returns the lower of traffic.maxConnections and a fraction of the file
// descriptors. A node that runs out of descriptors can't connect to its own target or to
// other nodes, so the limit is lower where the process may open fewer files than the
// settings need.
func (n *Node) connectionLimit(fraction float64) int {
	limit := n.settings.Traffic.MaxConnections
	var files syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files); err != nil {
		return limit
	}
	available := descriptorShare(fraction, int(min(files.Cur, 1<<31)))
	if available >= limit {
		return limit
	}
	available = max(available, minConnections)
	n.log.Warn("connection limit is below traffic.maxConnections: too few file descriptors",
		zap.Uint64("descriptors", files.Cur), zap.Int("connections", available))
	return available
}

// descriptorShare returns a fraction of the file descriptors available to traffic.
func descriptorShare(fraction float64, files int) int {
	return int(fraction * float64(files-reservedDescriptors))
}

// connectionCounts are the connections that were closed because of a limit, by listener.
// Without a log line for them, a node that rejects its target's calls looks like a failing
// target.
type connectionCounts struct {
	limits   map[string]*hertzhttp.ConnLimit
	reported map[string]connectionCount
}

// connectionCount is the number of connections that were closed at once, and of those that
// were closed later in favour of others.
type connectionCount struct{ rejected, evicted int64 }

// sinceLast returns the counts since the previous call, by listener.
func (c *connectionCounts) sinceLast() map[string]connectionCount {
	var counts map[string]connectionCount
	for listener, l := range c.limits {
		n := connectionCount{rejected: l.Rejected.Load(), evicted: l.Evicted.Load()}
		last := c.reported[listener]
		if n == last {
			continue
		}
		if counts == nil {
			counts = make(map[string]connectionCount)
		}
		if c.reported == nil {
			c.reported = make(map[string]connectionCount)
		}
		counts[listener] = connectionCount{rejected: n.rejected - last.rejected, evicted: n.evicted - last.evicted}
		c.reported[listener] = n
	}
	return counts
}
