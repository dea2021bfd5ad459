package hertzhttp

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/network/standard"
)

// watchDelay is how long a request runs before the server watches its client.
// hertz watches from the start, which costs each request a goroutine and a wait
// for that goroutine before the response can be sent. Most calls finish before a
// disconnect would matter; work for a disconnected client continues for at most
// this long before it is canceled.
const watchDelay = 200 * time.Millisecond

// minWatchInterval is the minimum time between two scans for such requests.
// Scanning as soon as the next one is due would wake a busy node for each request.
const minWatchInterval = watchDelay / 4

// disconnectWatcher starts to watch the clients of long-running requests, and
// starts the timers of these requests' deadlines. It is safe for concurrent use.
type disconnectWatcher struct {
	mu    sync.Mutex
	queue []*watchedRequest // ordered by start time
	armed bool
}

// watchedRequest is a request that is in the handler or whose response is being
// streamed.
type watchedRequest struct {
	ctx       requestContext // the request's context
	start     time.Time
	conn      *requestConn
	watchable bool // the watcher may read from the connection

	mu       sync.Mutex
	ended    bool
	detector detector // nil while not watched
}

// detector is hertz's way to notice that a client closes its connection: a
// blocking read. Nothing else may read meanwhile.
type detector interface {
	DetectConnectionClose()
	AbortBlockingRead()
}

// nextPeeker is a requestConn for a detector, which doesn't read what arrives.
type nextPeeker struct{ *requestConn }

// Peek implements network.Reader.
func (p nextPeeker) Peek(int) ([]byte, error) { return nil, p.peekNext() }

// begin returns the context of a request, which ends with the request or when its
// client disconnects.
func (w *disconnectWatcher) begin(ctx context.Context, c *app.RequestContext) (context.Context, *watchedRequest) {
	r := &watchedRequest{start: time.Now(), conn: serverConnOf(ctx).request, watchable: canWatch(c)}
	r.ctx.Context = ctx
	w.add(r)
	return &r.ctx, r
}

// canWatch reports whether only the watcher reads from the connection until the
// response is sent: the request has no body, or all of it has been received.
func canWatch(c *app.RequestContext) bool {
	if !c.Request.IsBodyStream() {
		return true
	}
	if !isPrefetched(c) {
		return false
	}
	_, err := c.Request.BodyE()
	return err == nil
}

func (w *disconnectWatcher) add(r *watchedRequest) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.queue = append(w.queue, r)
	if !w.armed {
		w.armed = true
		time.AfterFunc(watchDelay, w.onTimer)
	}
}

// onTimer starts to watch the requests that have run for watchDelay.
func (w *disconnectWatcher) onTimer() {
	for _, r := range w.takeDue(time.Now()) {
		r.ctx.useOwnTimer()
		r.startDetector()
	}
}

// takeDue removes the requests that have run for watchDelay from the queue and
// sets the timer for the next one.
func (w *disconnectWatcher) takeDue(now time.Time) []*watchedRequest {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for n < len(w.queue) && now.Sub(w.queue[n].start) >= watchDelay {
		n++
	}
	out := append([]*watchedRequest(nil), w.queue[:n]...)
	left := copy(w.queue, w.queue[n:])
	clear(w.queue[left:])
	w.queue = w.queue[:left]
	w.armed = left > 0
	if w.armed {
		next := w.queue[0].start.Add(watchDelay).Sub(now)
		time.AfterFunc(max(next, minWatchInterval), w.onTimer)
	}
	return out
}

func (r *watchedRequest) startDetector() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended || !r.watchable {
		return
	}
	r.detector = standard.NewStatefulConn(nextPeeker{r.conn}, r.readEnded)
	r.detector.DetectConnectionClose()
}

// readEnded handles the end of the blocking read. A timeout means that end stopped
// it; a closed connection was closed by this server, not by the client.
func (r *watchedRequest) readEnded(err error) {
	if ne, ok := err.(net.Error); ok && ne.Timeout() || errors.Is(err, net.ErrClosed) {
		return
	}
	r.ctx.callerLeft()
}

// end ends the request's context and returns the connection to its server.
func (r *watchedRequest) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.ended && r.detector != nil {
		r.detector.AbortBlockingRead()
	}
	r.ended = true
	r.ctx.cancel()
}

// prefetchBytes is how much of a body hertz reads before it calls the handler.
const prefetchBytes = 8 << 10

func isPrefetched(c *app.RequestContext) bool {
	n := c.Request.Header.ContentLength()
	return n >= 0 && n <= prefetchBytes
}
