package latency

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol"

	"peardrift/bench/standin/httpd"
	"peardrift/bench/standin/target"
	"peardrift/internal/adapter/hertzhttp"
	"peardrift/internal/status"
)

// LeanTarget serves the routes of a stand-in target with minimal overhead: no slots, no
// counters, no verification of answers. It propagates the traceparent header.
type LeanTarget struct {
	cfg    target.Config
	client *hertzhttp.Client
	http   *httpd.Server
	next   atomic.Uint64
}

// StartLean listens on cfg.Listen and serves until Close.
func StartLean(cfg target.Config) (*LeanTarget, error) {
	cc := hertzhttp.DefaultClientConfig()
	cc.WatchAfter = idleCheckAfter
	t := &LeanTarget{cfg: cfg, client: hertzhttp.NewClient(cc)}
	var err error
	t.http, err = httpd.Start(httpd.Config{Listen: cfg.Listen}, t.serve)
	return t, err
}

// Addr returns the listen address.
func (t *LeanTarget) Addr() string { return t.http.Addr() }

// Close stops the target.
func (t *LeanTarget) Close() error {
	t.client.Close()
	return t.http.Close()
}

func (t *LeanTarget) serve(ctx context.Context, c *app.RequestContext) {
	for _, r := range t.cfg.Routes {
		if !strings.HasPrefix(string(c.Path()), r.Prefix) {
			continue
		}
		if r.ServiceTime > 0 {
			time.Sleep(r.ServiceTime)
		}
		for _, call := range r.Calls {
			if err := t.call(ctx, c, call); err != nil {
				c.String(http.StatusBadGateway, err.Error())
				return
			}
		}
		if _, err := io.Copy(io.Discard, c.RequestBodyStream()); err != nil {
			c.String(http.StatusBadRequest, err.Error())
			return
		}
		c.Data(http.StatusOK, "text/plain", bytes.Repeat([]byte{'a'}, r.Size))
		return
	}
	c.String(http.StatusOK, "ok") // health and load endpoints
}

func (t *LeanTarget) call(ctx context.Context, c *app.RequestContext, call target.Call) error {
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	req.Header.SetMethod(http.MethodGet)
	req.Header.SetRequestURI(call.Path)
	req.Header.SetHost(call.Service)
	if tp := c.GetHeader("traceparent"); len(tp) > 0 {
		req.Header.Set("Traceparent", string(tp))
	}
	res, err := t.client.Do(ctx, t.addrFor(call.Service), req, resp)
	if err != nil {
		return err
	}
	if res.Stream != nil {
		_ = res.Stream.Close()
	}
	if resp.StatusCode() != http.StatusOK {
		return status.New(status.CodeTargetFailed, "%s responded %d: %s", call.Service, resp.StatusCode(), resp.Body())
	}
	return nil
}

// addrFor returns the address for a call to a service: one of its targets in turn if they
// are configured, else the node.
func (t *LeanTarget) addrFor(service string) string {
	base := t.cfg.Node
	if direct := t.cfg.Direct[service]; len(direct) > 0 {
		base = direct[t.next.Add(1)%uint64(len(direct))]
	}
	return strings.TrimPrefix(base, "http://")
}
