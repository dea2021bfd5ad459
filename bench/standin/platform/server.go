package platform

import (
	"bytes"
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"peardrift/bench/standin/httpd"
)

// Server is one running platform.
type Server struct {
	http    *httpd.Server
	tables  tables
	objects objects
	ledger  ledger
	stopped context.Context
	stop    context.CancelFunc
}

// New returns an empty platform that isn't listening yet.
func New() *Server {
	s := &Server{
		tables:  tables{rows: make(map[rowID]row)},
		objects: objects{m: make(map[string][]byte)},
	}
	s.stopped, s.stop = context.WithCancel(context.Background())
	return s
}

// Start listens, "127.0.0.1:0" for a free port, and serves until Close.
func (s *Server) Start(listen string) error {
	h, err := httpd.Start(httpd.Config{Listen: listen}, s.serve)
	if err != nil {
		return err
	}
	s.http = h
	return nil
}

// Addr returns the address in use.
func (s *Server) Addr() string { return s.http.Addr() }

// URL returns the endpoint of both services.
func (s *Server) URL() string { return "http://" + s.Addr() }

// Close breaks all calls and waits for them. From then on connections are
// refused; the memory is lost.
func (s *Server) Close() error {
	s.stop()
	return s.http.Close()
}

// SetFaults replaces the faults in force.
func (s *Server) SetFaults(f Faults) { s.ledger.set(f) }

// Counters returns what GET /control/counters tells.
func (s *Server) Counters() Counters { return s.ledger.counters() }

// call is one request, copied from hertz, which reuses its contexts.
type call struct {
	method  string
	path    string
	op      string // of the table service; empty: the object store's call
	body    []byte
	onlyNew bool
	chunked bool
}

func (c call) isWrite() bool {
	if c.op != "" {
		return c.op != "GetItem"
	}
	return c.method == http.MethodPut
}

// reply is one answer; lost means that it must not reach the client.
type reply struct {
	code int
	kind string
	body []byte
	lost bool
}

func (s *Server) serve(_ context.Context, c *app.RequestContext) {
	switch string(c.Path()) {
	case "/control/counters":
		c.JSON(http.StatusOK, s.Counters())
	case "/control/faults":
		var f Faults
		if err := c.BindJSON(&f); err != nil {
			c.String(http.StatusBadRequest, err.Error())
			return
		}
		s.SetFaults(f)
		c.Status(http.StatusNoContent)
	default:
		s.serveCall(c)
	}
}

func (s *Server) serveCall(c *app.RequestContext) {
	req, err := readCall(c)
	if err != nil {
		c.String(http.StatusBadRequest, err.Error())
		return
	}
	r := s.answer(req)
	if r.lost {
		s.http.Conns.ResetPeer(c.RemoteAddr().String())
		return
	}
	c.Data(r.code, r.kind, r.body)
}

func readCall(c *app.RequestContext) (call, error) {
	body, err := c.Body()
	op, _ := strings.CutPrefix(string(c.GetHeader("X-Amz-Target")), targetPrefix)
	return call{
		method:  string(c.Method()),
		path:    string(c.Path()),
		op:      op,
		body:    bytes.Clone(body),
		onlyNew: string(c.GetHeader("If-None-Match")) == "*",
		chunked: strings.Contains(string(c.GetHeader("Content-Encoding")), "aws-chunked"),
	}, err
}

// answer does one call under the faults in force.
func (s *Server) answer(c call) reply {
	f := s.ledger.get()
	if r, denied := deny(f, c); denied {
		s.ledger.update(func(c *Counters) { c.Denied++ })
		return r
	}
	s.wait(f.DelayApplyMS)
	r := s.act(c)
	s.wait(f.DelayMS)
	return r
}

// deny returns the answer to a call that the faults keep from taking effect.
func deny(f Faults, c call) (reply, bool) {
	switch {
	case f.Down:
		return reply{lost: true}, true
	case f.Throttle && c.op != "":
		return tableReply(nil, fail(errThrottled, "throttled")), true
	case f.Throttle:
		return objectFailure(http.StatusServiceUnavailable, "SlowDown"), true
	case f.RefuseWrites && c.isWrite() && c.op != "":
		return tableReply(nil, fail(errDenied, "no writes")), true
	case f.RefuseWrites && c.isWrite():
		return objectFailure(http.StatusForbidden, "AccessDenied"), true
	default:
		return reply{}, false
	}
}

func (s *Server) act(c call) reply {
	if c.op != "" {
		return s.serveTable(c.op, c.body)
	}
	return s.serveObject(c)
}

func (s *Server) wait(ms int) {
	if ms <= 0 {
		return
	}
	t := time.NewTimer(time.Duration(ms) * time.Millisecond)
	defer t.Stop()
	select {
	case <-t.C:
	case <-s.stopped.Done():
	}
}
