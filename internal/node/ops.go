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

// Paths of the operators' face.
const (
	pathLive    = "/live"    // 200 while the process runs
	pathReady   = "/ready"   // 200 while the node takes calls
	pathDrain   = "/drain"   // POST: the target leaves
	pathStatus  = "/status"  // what the node knows, as JSON
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

// serveReady answers by what traffic has been given: what control knows may be
// ahead of it by a tick.
func (n *Node) serveReady(c *app.RequestContext) {
	obstacles := []string{obstacleStopping}
	var s shown
	alive := n.control.ask(func() { s, obstacles = n.control.shown, n.control.obstacles() })
	if alive && s.open() {
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

// serveDrain lets whoever stops the target first say so: the node announces the
// leave and goes on until the process is stopped itself.
func (n *Node) serveDrain(c *app.RequestContext) {
	if string(c.Method()) != http.MethodPost {
		c.String(http.StatusMethodNotAllowed, "use POST\n")
		return
	}
	n.control.ask(n.control.leave)
	c.String(http.StatusAccepted, "leaving\n")
}

func (f *faces) all() []*hertzhttp.Server {
	var out []*hertzhttp.Server
	for _, s := range []*hertzhttp.Server{f.callers, f.nodes, f.target, f.ops, f.reports, f.ready} {
		if s != nil {
			out = append(out, s)
		}
	}
	return out
}
