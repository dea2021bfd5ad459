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

// Server is the platform stand-in.
type Server struct {
	http    *httpd.Server
	tables  tables
	objects objects
	state   faultState
	stopped context.Context
	stop    context.CancelFunc
}

// New returns a Server without data that is not listening yet.
func New() *Server {
	s := &Server{
		tables:  tables{rows: make(map[rowID]row)},
		objects: objects{byName: make(map[string][]byte)},
	}
	s.stopped, s.stop = context.WithCancel(context.Background())
	return s
}

// Start listens on an address, "127.0.0.1:0" for a free port, and serves until
// Close.
func (s *Server) Start(listen string) error {
	h, err := httpd.Start(httpd.Config{Listen: listen}, s.serve)
	if err != nil {
		return err
	}
	s.http = h
	return nil
}

// Addr returns the listen address.
func (s *Server) Addr() string { return s.http.Addr() }

// URL returns the endpoint of both services.
func (s *Server) URL() string { return "http://" + s.Addr() }

// Close aborts all calls, waits for them and stops listening. The data is lost.
func (s *Server) Close() error {
	s.stop()
	return s.http.Close()
}

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(f Faults) { s.state.set(f) }

// Counters returns the counters that GET /control/counters reports.
func (s *Server) Counters() Counters { return s.state.counters() }

// call is one request, copied from hertz, which reuses its contexts.
type call struct {
	method   string
	path     string
	op       string // operation of the table service; empty: object store call
	body     []byte
	ifAbsent bool
	chunked  bool
}

func (c call) isWrite() bool {
	if c.op != "" {
		return c.op != "GetItem"
	}
	return c.method == http.MethodPut
}

// reply is one answer; drop resets the connection instead of sending it.
type reply struct {
	code        int
	contentType string
	body        []byte
	drop        bool
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
	r := s.handle(req)
	if r.drop {
		s.http.Conns.ResetPeer(c.RemoteAddr().String())
		return
	}
	c.Data(r.code, r.contentType, r.body)
}

func readCall(c *app.RequestContext) (call, error) {
	body, err := c.Body()
	op, _ := strings.CutPrefix(string(c.GetHeader("X-Amz-Target")), targetPrefix)
	return call{
		method:   string(c.Method()),
		path:     string(c.Path()),
		op:       op,
		body:     bytes.Clone(body),
		ifAbsent: string(c.GetHeader("If-None-Match")) == "*",
		chunked:  strings.Contains(string(c.GetHeader("Content-Encoding")), "aws-chunked"),
	}, err
}

// handle executes one call under the current faults.
func (s *Server) handle(c call) reply {
	f := s.state.get()
	if r, denied := denyByFaults(f, c); denied {
		s.state.update(func(c *Counters) { c.Denied++ })
		return r
	}
	s.delay(f.DelayApplyMS)
	r := s.execute(c)
	s.delay(f.DelayMS)
	return r
}

// denyByFaults returns the answer to a call that the faults reject before it takes
// effect.
func denyByFaults(f Faults, c call) (reply, bool) {
	switch {
	case f.Down:
		return reply{drop: true}, true
	case f.Throttle && c.op != "":
		return tableReply(nil, newFailure(errThrottled, "throttled")), true
	case f.Throttle:
		return objectFailure(http.StatusServiceUnavailable, "SlowDown"), true
	case f.RefuseWrites && c.isWrite() && c.op != "":
		return tableReply(nil, newFailure(errDenied, "no writes")), true
	case f.RefuseWrites && c.isWrite():
		return objectFailure(http.StatusForbidden, "AccessDenied"), true
	default:
		return reply{}, false
	}
}

func (s *Server) execute(c call) reply {
	if c.op != "" {
		return s.serveTable(c.op, c.body)
	}
	return s.serveObject(c)
}

func (s *Server) delay(ms int) {
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
