package dataplane

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/matryer/is"

	"peardrift/internal/adapter/hertzhttp"
	"peardrift/internal/core/configset"
	"peardrift/internal/core/request"
	"peardrift/internal/core/retry"
	"peardrift/internal/wire"
)

// egressLog keeps the egress hops.
type egressLog chan Hop

func (l egressLog) Hop(h *Hop) {
	if h.Kind == HopEgress {
		l <- *h
	}
}

const (
	answerStart = "the start, "
	answerRest  = "the rest"
)

// streamingCallee is another node whose answers have no length. It sends the head and the
// start of an answer, and the rest when finish is called.
type streamingCallee struct {
	*hertzhttp.Server
	conns  chan net.Conn // of the calls that arrived
	finish func()
}

func newStreamingCallee(t *testing.T) *streamingCallee {
	finished := make(chan struct{})
	x := &streamingCallee{conns: make(chan net.Conn, 1), finish: sync.OnceFunc(func() { close(finished) })}
	x.Server = fakeNode(t, func(_ context.Context, c *app.RequestContext) {
		x.conns <- c.GetConn()
		wire.SetAnswer(&c.Response.Header, &wire.Answer{Outcome: request.Completed})
		c.SetStatusCode(http.StatusOK)
		r, w := io.Pipe()
		c.SetBodyStream(r, -1)
		go func() {
			_, _ = io.WriteString(w, answerStart)
			<-finished
			_, _ = io.WriteString(w, answerRest)
			_ = w.Close()
		}()
	})
	t.Cleanup(x.finish)
	return x
}

// targetCall is a call that a target makes through its node while it runs a request.
type targetCall struct {
	*http.Response
	conn net.Conn
}

// callFromTarget makes a call as part of the running request x and reads the answer's head.
func callFromTarget(t *testing.T, e *Engine, x *runningRequest) targetCall {
	is := is.New(t)
	node, err := hertzhttp.Listen("127.0.0.1:0", hertzhttp.DefaultServerConfig(), e.ServeTarget)
	is.NoErr(err)
	node.Start()
	t.Cleanup(node.Close)
	conn, err := net.Dial("tcp", node.Addr())
	is.NoErr(err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: svc\r\ntraceparent: 00-"+x.id.String()+"-"+x.span.String()+"-00\r\n\r\n")
	is.NoErr(err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	return targetCall{resp, conn}
}

// readStart reads the start of the answer.
func (c targetCall) readStart(t *testing.T) {
	is := is.New(t)
	is.Equal(c.StatusCode, http.StatusOK)
	start := make([]byte, len(answerStart))
	_, err := io.ReadFull(c.Body, start)
	is.NoErr(err)
	is.Equal(string(start), answerStart)
}

// runRequest adds a request that runs on the engine's target until ctx ends.
func runRequest(ctx context.Context, e *Engine, info *configset.ServiceInfo, timeout time.Duration) *runningRequest {
	x := &runningRequest{
		id: newID(), span: newSpan(), class: info.Classes[0].Name, meta: wire.Meta{Tenant: "t", Class: "read"},
		deadline: e.now() + timeout, ctx: ctx, allowance: retry.NewRequestAllowance(3, false),
	}
	e.running.add(x)
	return x
}

// watchedAfter is when the server certainly watches the caller of a request.
const watchedAfter = 500 * time.Millisecond

// Guards against truncated answers that can't be told apart: whatever ended one, the hop
// said no more than that its outcome is unknown.
func TestTruncatedAnswerIsReportedWithItsReason(t *testing.T) {
	for name, tt := range map[string]struct {
		timeout time.Duration
		end     func(*streamingCallee, targetCall)
		want    Truncation
	}{
		"complete":              {time.Minute, func(callee *streamingCallee, _ targetCall) { callee.finish() }, NotTruncated},
		"the caller leaves":     {time.Minute, func(_ *streamingCallee, c targetCall) { _ = c.conn.Close() }, TruncatedByCaller},
		"the deadline passes":   {time.Second, func(*streamingCallee, targetCall) {}, TruncatedByDeadline},
		"the callee breaks off": {time.Minute, func(callee *streamingCallee, _ targetCall) { _ = (<-callee.conns).Close() }, TruncatedByCallee},
		"the callee breaks off later": {time.Minute, func(callee *streamingCallee, _ targetCall) {
			time.Sleep(watchedAfter)
			_ = (<-callee.conns).Close()
		}, TruncatedByCallee},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			callee := newStreamingCallee(t)
			e, info := newCaller(t, callee.Server)
			hops := make(egressLog, 1)
			e.obs = hops
			c := callFromTarget(t, e, runRequest(t.Context(), e, info, tt.timeout))
			c.readStart(t)
			tt.end(callee, c)
			hop := <-hops
			is.Equal(hop.Truncated, tt.want)
			is.Equal(hop.Outcome == request.Completed, tt.want == NotTruncated)
		})
	}
}

// observedTransport tells when calls begin and runs a function after each.
type observedTransport struct {
	Transport
	began chan context.Context
	after func(ctx context.Context)
}

func (o *observedTransport) Do(ctx context.Context, addr string, req *protocol.Request, resp *protocol.Response) (hertzhttp.Result, error) {
	o.began <- ctx
	res, err := o.Transport.Do(ctx, addr, req, resp)
	o.after(ctx)
	return res, err
}

// newObservedCaller returns an engine with a running request that ends by the returned
// function.
func newObservedCaller(t *testing.T, callee *streamingCallee, timeout time.Duration) (*Engine, *runningRequest, *observedTransport, context.CancelFunc) {
	e, info := newCaller(t, callee.Server)
	o := &observedTransport{Transport: e.peers, began: make(chan context.Context, 1), after: func(context.Context) {}}
	e.peers, e.crossZone = o, o
	ctx, end := context.WithCancel(t.Context())
	return e, runRequest(ctx, e, info, timeout), o, end
}

// Guards against a target that gets half an answer: the request that it runs ends while
// the answer to one of its calls is being passed on, and the node closes the connection.
func TestEndOfRequestDoesNotTruncateAnswerToItsTarget(t *testing.T) {
	is := is.New(t)
	callee := newStreamingCallee(t)
	e, x, o, endRequest := newObservedCaller(t, callee, time.Minute)
	c := callFromTarget(t, e, x)
	c.readStart(t)
	endRequest()
	select {
	case <-(<-o.began).Done():
		t.Error("the call was canceled")
	case <-time.After(100 * time.Millisecond):
	}
	callee.finish()
	rest, err := io.ReadAll(c.Body)
	is.NoErr(err)
	is.Equal(string(rest), answerRest)
}

// Guards against a success that begins although it can't end: its call's context ends after
// the head has arrived and before it is passed on.
func TestAnswerOfEndedCallDoesNotBegin(t *testing.T) {
	for name, tt := range map[string]struct {
		timeout time.Duration
		end     func(endRequest context.CancelFunc)
		status  int
	}{
		"the parent request ends": {time.Minute, func(endRequest context.CancelFunc) { endRequest() }, http.StatusBadGateway},
		"the deadline passes":     {time.Second, func(context.CancelFunc) {}, http.StatusGatewayTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			callee := newStreamingCallee(t)
			e, x, o, endRequest := newObservedCaller(t, callee, tt.timeout)
			o.after = func(ctx context.Context) {
				tt.end(endRequest)
				<-ctx.Done()
			}
			c := callFromTarget(t, e, x)
			is.Equal(c.StatusCode, tt.status)
			_, err := io.ReadAll(c.Body)
			is.NoErr(err)
		})
	}
}
