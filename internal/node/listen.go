package node

import (
	"context"
	"errors"
	"syscall"

	"github.com/cloudwego/hertz/pkg/app"
	"go.uber.org/zap"

	"peardrift/internal/adapter/hertzhttp"
	"peardrift/internal/adapter/listen"
	"peardrift/internal/status"
)

// face is one HTTP listener to be opened.
type face struct {
	key, addr string
	to        **hertzhttp.Server
	handle    hertzhttp.Handler
	conns     *hertzhttp.ConnLimit
}

// listen opens all listeners, or fails with each that can't be opened.
func (n *Node) listen() error {
	cfg := hertzhttp.DefaultServerConfig()
	cfg.IdleTimeout, cfg.MaxHeaderBytes = n.set.Traffic.IdleTimeout, n.set.Traffic.MaxHeaderBytes
	callers := hertzhttp.NewConnLimit(n.mostConnections(callersShare))
	inner := hertzhttp.NewConnLimit(n.mostConnections(nodesShare))
	ops := hertzhttp.NewConnLimit(opsConnections)
	n.connections.limits = map[string]*hertzhttp.ConnLimit{"callers": callers, "nodes": inner}
	l := n.set.Listen
	var failed []error
	all := []face{
		{"listen.nodes", l.Nodes, &n.faces.nodes, n.engine.ServeNode, inner},
		{"listen.ops", l.Ops, &n.faces.ops, n.serveOps, ops},
	}
	if l.Target == l.Callers {
		all = append(all, face{"listen.callers", l.Callers, &n.faces.callers, n.engine.ServeOutbound, callers})
	} else {
		all = append(all, face{"listen.callers", l.Callers, &n.faces.callers, n.engine.ServeCaller, callers},
			face{"listen.target", l.Target, &n.faces.target, n.engine.ServeTarget, inner})
	}
	if l.Reports != "" && n.outside != nil {
		all = append(all, face{"listen.reports", l.Reports, &n.faces.reports, n.outside.Reports(n.reported, n.refused), ops})
	}
	if l.Ready != "" {
		all = append(all, face{"listen.ready", l.Ready, &n.faces.ready, func(_ context.Context, c *app.RequestContext) { n.serveReady(c) }, ops})
	}
	for _, f := range all {
		nodes := f.to == &n.faces.nodes
		cfg.Conns, cfg.NoDate, cfg.Packed = f.conns, nodes, nodes
		s, err := hertzhttp.Listen(f.addr, cfg, f.handle)
		if err != nil {
			failed = append(failed, status.Wrap(status.CodeListen, status.From(err).Cause, "%s", f.key))
			continue
		}
		*f.to = s
	}
	var err error
	if n.ln, err = listen.Open(l.Control); err != nil {
		failed = append(failed, status.Wrap(status.CodeListen, status.From(err).Cause, "listen.control"))
	}
	return errors.Join(failed...)
}

const (
	// opsConnections bounds the operators' connections, which have a place of
	// their own: callers that open all theirs must not hide the node from those
	// who want to see what is the matter.
	opsConnections = 64
	// spareFiles are descriptors for what isn't traffic.
	spareFiles = 64
	// Shares of the descriptors for connections of callers and of nodes; the rest
	// is for those that calls go out on, of which there are as many as calls in
	// flight. Callers have most: the own target may hold a connection for each
	// request that it runs, and as many again that it closes late. With a quarter
	// each, the last target of a service that has lost the others was refused the
	// calls that it needed: its node had room for 1,009, it held up to 1,400. A call
	// of another node holds one from its arrival on, so nodes need room for what
	// runs and for what waits: with a fifth, 807, nodes beside targets of 267 slots
	// closed up to 365 connections a second in a surge, and each ended a call of
	// which nobody could say whether it had run.
	callersShare     = 0.4
	nodesShare       = 0.3
	leastConnections = 8
)

// mostConnections bounds connections by the settings and by a share of the
// descriptors. A node that runs out of descriptors can open no connection to its
// own target or to others, so the bound is lower where the process may open fewer
// files than the settings would need.
func (n *Node) mostConnections(part float64) int {
	most := n.set.Traffic.MaxConnections
	var files syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files); err != nil {
		return most
	}
	have := share(part, int(min(files.Cur, 1<<31)))
	if have >= most {
		return most
	}
	have = max(have, leastConnections)
	n.log.Warn("fewer connections than traffic.maxConnections, for want of file descriptors",
		zap.Uint64("descriptors", files.Cur), zap.Int("connections", have))
	return have
}

// share returns a part of the descriptors that are for traffic.
func share(part float64, files int) int { return int(part * float64(files-spareFiles)) }

// connections tells of connections that were closed at once for want of room.
// Without a line of its own a node that turns its target's calls away looks to
// everybody like a target that fails.
type connections struct {
	limits map[string]*hertzhttp.ConnLimit
	told   map[string]int64
}

// look returns how many were turned away since the last look, by face.
func (c *connections) look() map[string]int64 {
	var news map[string]int64
	for face, l := range c.limits {
		n := l.Turned.Load()
		if n == c.told[face] {
			continue
		}
		if news == nil {
			news = make(map[string]int64)
		}
		if c.told == nil {
			c.told = make(map[string]int64)
		}
		news[face] = n - c.told[face]
		c.told[face] = n
	}
	return news
}
