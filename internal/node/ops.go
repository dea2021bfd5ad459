package node

import (
	"bytes"
	"context"
	"net/http"
	"strings"

	"github.com/cloudwego/hertz/pkg/app"

	"peardrift/internal/adapter/hertzhttp"
	"peardrift/internal/adapter/tallymetrics"
)

// Paths of the operators' listener.
const (
	pathLive    = "/live"    // 200 while the process runs
	pathReady   = "/ready"   // 200 while the node accepts calls
	pathDrain   = "/drain"   // POST: announce that the target is leaving
	pathStatus  = "/status"  // Status as JSON
	pathMetrics = "/metrics" // the scrape endpoint
)

// serveOps answers operators and the platform's probes.
func (n *Node) serveOps(_ context.Context, c *app.RequestContext) {
	switch string(c.Path()) {
	case pathLive:
		c.String(http.StatusOK, "ok\n")
	case pathReady:
		n.serveReady(c)
	case pathMetrics:
		n.serveMetrics(c)
	case pathStatus:
		n.serveStatus(c)
	case pathDrain:
		n.serveDrain(c)
	default:
		c.String(http.StatusNotFound, "not found\n")
	}
}

// serveReady answers from the published view: the control state may be one tick ahead of
// it.
func (n *Node) serveReady(c *app.RequestContext) {
	obstacles := []string{notReadyStopping}
	var s viewInputs
	alive := n.control.ask(func() { s, obstacles = n.control.published, n.control.notReadyReasons() })
	if alive && s.acceptsCalls() {
		c.String(http.StatusOK, "ready\n")
		return
	}
	c.String(http.StatusServiceUnavailable, "not ready: %s\n", strings.Join(obstacles, "; "))
}

func (n *Node) serveMetrics(c *app.RequestContext) {
	var b bytes.Buffer
	if err := n.metrics.WriteText(&b); err != nil {
		c.String(http.StatusInternalServerError, "%v\n", err)
		return
	}
	c.Data(http.StatusOK, tallymetrics.ContentType, b.Bytes())
}

// serveDrain lets operators announce that the target will stop: the node announces the
// leave and keeps running until the process itself is stopped.
func (n *Node) serveDrain(c *app.RequestContext) {
	if string(c.Method()) != http.MethodPost {
		c.String(http.StatusMethodNotAllowed, "use POST\n")
		return
	}
	n.control.ask(n.control.leave)
	c.String(http.StatusAccepted, "leaving\n")
}

func (f *httpServers) all() []*hertzhttp.Server {
	var out []*hertzhttp.Server
	for _, s := range []*hertzhttp.Server{f.callers, f.nodes, f.target, f.ops, f.reports, f.ready} {
		if s != nil {
			out = append(out, s)
		}
	}
	return out
}
