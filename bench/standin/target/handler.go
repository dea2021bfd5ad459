package target

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cloudwego/hertz/pkg/app"

	"peardrift/internal/status"
)

const (
	headerMark     = "X-Mark"
	headerCrash    = "X-Crash"
	headerDeadline = "X-Request-Deadline-Ms"
	headerKey      = "Idempotency-Key"
	// HeaderNotExecuted marks answers to requests that were rejected without a run, by the
	// share set with POST /control/reject.
	HeaderNotExecuted = "X-Not-Executed"
	// maxBodyMark is the size of the longest body that is used as a mark, in bytes.
	maxBodyMark = 256
	retryAfter  = "1"
)

var (
	errDeadline   = status.New(status.CodeDeadlineExceeded, "the deadline passed")
	errClientGone = status.New(status.CodeCanceled, "the client has gone")
	errNoFreeSlot = status.New(status.CodeOverloaded, "no slot is free")
)

func (s *Server) serve(ctx context.Context, c *app.RequestContext) {
	path := string(c.Path())
	switch path {
	case "/healthz", "/health":
		s.health(c)
	case "/load":
		c.JSON(http.StatusOK, s.reportedLoad(time.Now()))
	case "/control/counters":
		c.JSON(http.StatusOK, s.Counters())
	case "/control/drain", "/control/silence", "/control/slow", "/control/reject":
		s.control(c, path)
	default:
		s.work(ctx, c, path)
	}
}

func (s *Server) health(c *app.RequestContext) {
	if s.drainVisible(time.Now()) && !s.cfg.AlwaysHealthy {
		c.String(http.StatusServiceUnavailable, "draining")
		return
	}
	c.String(http.StatusOK, "ok")
}

func (s *Server) control(c *app.RequestContext, path string) {
	switch path {
	case "/control/drain":
		s.Drain()
	case "/control/silence":
		// Except the connection that carries this answer.
		s.http.Conns.Blackhole(c.RemoteAddr().String())
	case "/control/slow":
		var arg struct {
			Factor float64 `json:"factor"`
		}
		if err := c.BindJSON(&arg); err != nil || arg.Factor <= 0 {
			c.String(http.StatusBadRequest, "factor must be a number above 0")
			return
		}
		s.SetSlowdown(arg.Factor)
	case "/control/reject":
		var arg struct {
			Share float64 `json:"share"`
		}
		if err := c.BindJSON(&arg); err != nil || arg.Share < 0 || arg.Share > 1 {
			c.String(http.StatusBadRequest, "share must be a number from 0 to 1")
			return
		}
		s.serviceTimes.setRejected(arg.Share)
	}
	c.Status(http.StatusNoContent)
}

// job is one request for a run, copied from hertz, which reuses its contexts.
type job struct {
	route      Route
	path       string
	propagated propagated
	received   int64
	digest     uint64
	deadline   time.Time // zero: none
	crash      bool
}

func (s *Server) work(ctx context.Context, c *app.RequestContext, path string) {
	if s.drainStart.Load() != nil {
		s.count.update(func(c *Counters) { c.AfterDrain++ })
	}
	if s.drainVisible(time.Now()) {
		c.Response.Header.SetConnectionClose(true)
		s.shed(c, "draining")
		return
	}
	if s.serviceTimes.drawRejected() {
		c.Response.Header.Set(HeaderNotExecuted, "1")
		s.shed(c, "rejected")
		return
	}
	route, ok := s.route(string(c.Method()), path)
	if !ok {
		c.String(http.StatusNotFound, "no such route")
		return
	}
	j, err := readJob(c, route, path)
	if err != nil {
		c.String(http.StatusBadRequest, err.Error())
		return
	}
	body, err := s.run(ctx, j)
	s.answer(c, body, err)
}

func (s *Server) route(method, path string) (Route, bool) {
	for _, r := range s.cfg.Routes {
		if (r.Method == "" || r.Method == method) && strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return Route{}, false
}

func readJob(c *app.RequestContext, r Route, path string) (job, error) {
	j := job{route: r, path: path}
	h := xxhash.New()
	var head []byte
	if stream := c.RequestBodyStream(); stream != nil {
		var err error
		head, err = io.ReadAll(io.LimitReader(stream, maxBodyMark+1))
		_, _ = h.Write(head)
		if err == nil {
			j.received, err = io.Copy(h, stream)
		}
		if err != nil {
			return j, status.Wrap(status.CodeMalformed, err, "read the body")
		}
		j.received += int64(len(head))
	}
	j.digest = h.Sum64()
	j.propagated = readPropagated(c, head)
	j.crash = r.CrashMark != "" &&
		(strings.Contains(j.propagated.mark, r.CrashMark) || string(c.GetHeader(headerCrash)) == r.CrashMark)
	if ms, err := strconv.ParseInt(string(c.GetHeader(headerDeadline)), 10, 64); err == nil {
		j.deadline = time.Now().Add(time.Duration(ms) * time.Millisecond)
	}
	return j, nil
}

func readPropagated(c *app.RequestContext, head []byte) propagated {
	o := propagated{
		traceparent: string(c.GetHeader("traceparent")),
		mark:        string(c.GetHeader(headerMark)),
		key:         string(c.GetHeader(headerKey)),
	}
	if o.mark == "" {
		o.mark = string(c.QueryArgs().Peek("mark"))
	}
	if o.mark == "" && len(head) <= maxBodyMark {
		o.mark = string(head)
	}
	if o.key == "" {
		o.key = o.mark
	}
	return o
}

// run waits for a slot, holds it for the service time and the calls, and returns
// the answer's body.
func (s *Server) run(client context.Context, j job) ([]byte, error) {
	ctx, cancel := s.runContext(client, j)
	defer cancel()
	if err := s.acquire(ctx); err != nil {
		return nil, err
	}
	defer func() { <-s.slots }()
	s.logRun(j)
	defer s.logWork(j, time.Now())
	s.count.start(j.route.Method+" "+j.route.Prefix, j.propagated.key)
	defer s.count.update(func(c *Counters) { c.InFlight-- })

	body, err := s.execute(ctx, j)
	late := client.Err() != nil || !j.deadline.IsZero() && time.Now().After(j.deadline)
	s.count.update(func(c *Counters) {
		switch {
		case err == nil && late:
			c.Finished++
			c.FinishedLate++
		case err == nil:
			c.Finished++
		case ctx.Err() != nil:
			c.Cancelled++
		default:
			c.Failed++
		}
	})
	return body, err
}

func (s *Server) execute(ctx context.Context, j job) ([]byte, error) {
	mean := j.route.ServiceTime
	if mean == 0 {
		mean = s.cfg.ServiceTime
	}
	if err := sleepContext(ctx, s.serviceTimes.draw(time.Now(), mean)); err != nil {
		return nil, err
	}
	if j.crash {
		s.Crash()
		return nil, errStopped
	}
	results, err := s.caller.callAll(ctx, j.route, j.propagated)
	if err != nil {
		return nil, err
	}
	return Answer{
		Service:     s.cfg.Service,
		Path:        j.path,
		RequestMark: j.propagated.mark,
		Received:    j.received,
		Digest:      j.digest,
		Size:        j.route.Size,
		Calls:       results,
	}.Encode(), nil
}

// runContext returns a context that is cancelled when the target crashes or stops
// and, unless the target ignores them, when the client disconnects or the deadline
// passes.
func (s *Server) runContext(client context.Context, j job) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(s.currentScope().ctx)
	stops := []func() bool{}
	if !s.cfg.IgnoreCancel {
		stops = append(stops, context.AfterFunc(client, func() { cancel(errClientGone) }))
	}
	if !s.cfg.IgnoreDeadline && !j.deadline.IsZero() {
		t := time.AfterFunc(time.Until(j.deadline), func() { cancel(errDeadline) })
		stops = append(stops, t.Stop)
	}
	return ctx, func() {
		for _, stop := range stops {
			stop()
		}
		cancel(nil)
	}
}

func (s *Server) acquire(ctx context.Context) error {
	select {
	case s.slots <- struct{}{}:
		return nil
	default:
	}
	if s.cfg.Shed {
		return errNoFreeSlot
	}
	queued := s.queued.Add(1)
	defer s.queued.Add(-1)
	if s.cfg.Queue > 0 && queued > int64(s.cfg.Queue) {
		return errNoFreeSlot
	}
	select {
	case s.slots <- struct{}{}:
		return nil
	case <-ctx.Done():
		s.count.update(func(c *Counters) { c.Abandoned++ })
		return context.Cause(ctx)
	}
}

func (s *Server) shed(c *app.RequestContext, reason string) {
	s.count.update(func(c *Counters) { c.Shed++ })
	c.Response.Header.Set("Retry-After", retryAfter)
	c.String(http.StatusServiceUnavailable, reason)
}

func (s *Server) answer(c *app.RequestContext, body []byte, err error) {
	var e *status.Error
	switch {
	case err == nil:
		c.Data(http.StatusOK, "application/json", body)
	case err == error(errNoFreeSlot):
		s.shed(c, "busy")
	case errors.As(err, &e) && (e.Code == status.CodeDeadlineExceeded || e.Code == status.CodeConnectionLost):
		c.String(http.StatusGatewayTimeout, err.Error())
	default:
		c.String(http.StatusBadGateway, err.Error())
	}
}
