package hertzhttp

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// ConnLimit limits the open connections of the servers that share it, and the memory for
// what their clients send and don't read. Where a limit is reached, connections whose
// clients make no progress are closed in favour of others. It is safe for concurrent use.
type ConnLimit struct {
	// MemoryBytes limits what requests hold in addition to freeBytes each (default 64 MiB).
	// A lower value saves memory; if it is too low, large requests are refused while others
	// are received. It must not be changed once a server uses the limit.
	MemoryBytes int64

	max  int
	held atomic.Int64 // bytes that connections hold in addition to freeBytes each

	mu    sync.Mutex
	conns map[*serverConn]struct{}

	// Rejected counts the connections that were closed at once because of the limit.
	Rejected atomic.Int64
	// Evicted counts the open connections that were closed in favour of others.
	Evicted atomic.Int64
}

const (
	// freeBytes is the memory of a request that isn't counted, so that ordinary requests are
	// served while others hold all that is.
	freeBytes = 8 << 10
	// defaultMemory is the default of ConnLimit.MemoryBytes.
	defaultMemory = 64 << 20
)

// NewConnLimit returns a limit of most connections.
func NewConnLimit(most int) *ConnLimit {
	return &ConnLimit{MemoryBytes: defaultMemory, max: most, conns: make(map[*serverConn]struct{})}
}

// Open returns the number of open connections.
func (l *ConnLimit) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// admit counts a new connection. If there are too many, it closes one that has stalled. It
// reports whether the new one may stay.
func (l *ConnLimit) admit(c *serverConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.conns) >= l.max && !l.evict(nil) {
		l.Rejected.Add(1)
		return false
	}
	l.conns[c] = struct{}{}
	return true
}

// remove forgets a closed connection and releases what it holds.
func (l *ConnLimit) remove(c *serverConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drop(c)
}

// drop is called with mu held.
func (l *ConnLimit) drop(c *serverConn) {
	delete(l.conns, c)
	l.held.Add(-c.held.Swap(0))
}

// hold sets how many bytes a connection holds. If the limit is exceeded, it closes stalled
// connections that hold some. It reports false, and leaves what the connection holds, if
// that doesn't suffice; a connection may hold any number of bytes if no other holds some.
func (l *ConnLimit) hold(c *serverConn, bytes int64) bool {
	bytes = max(bytes-freeBytes, 0)
	more := bytes - c.held.Load()
	if more == 0 {
		return true
	}
	if l.held.Add(more) > l.MemoryBytes && more > 0 && !l.reclaim(c, more) {
		l.held.Add(-more)
		return false
	}
	l.record(c, more)
	return true
}

// holdAnyway is hold for memory that has been taken: it also counts what exceeds the limit.
func (l *ConnLimit) holdAnyway(c *serverConn, bytes int64) {
	more := max(bytes-freeBytes, 0) - c.held.Load()
	if more == 0 {
		return
	}
	if l.held.Add(more) > l.MemoryBytes && more > 0 {
		l.reclaim(c, more)
	}
	l.record(c, more)
}

// record counts what is counted in total for its connection.
func (l *ConnLimit) record(c *serverConn, more int64) {
	c.held.Add(more)
	if c.closed.Load() {
		l.held.Add(-c.held.Swap(0))
	}
}

// reclaim closes stalled connections until the limit is kept, and reports whether it is. The
// bytes that c is about to hold are counted already.
func (l *ConnLimit) reclaim(c *serverConn, more int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.held.Load() > l.MemoryBytes {
		if l.held.Load() == more+c.held.Load() {
			return true
		}
		if !l.evict(c) {
			return false
		}
	}
	return true
}

// evict closes the connection that has stalled the most and reports whether there is one. If
// spare isn't nil, it closes neither that one nor one that holds no bytes. It is called with
// mu held.
func (l *ConnLimit) evict(spare *serverConn) bool {
	now := monotonic()
	var victim *serverConn
	var most stall
	for c := range l.conns {
		if spare != nil && (c == spare || c.held.Load() == 0) {
			continue
		}
		if s := c.stalled(now); s.exceeds(most) {
			victim, most = c, s
		}
	}
	if victim == nil {
		return false
	}
	l.drop(victim)
	l.Evicted.Add(1)
	victim.abort()
	return true
}

// await is what a connection waits for.
type await int32

const (
	awaitNothing await = iota // the request runs
	awaitNext                 // the next request on the connection
	awaitRead                 // that the client reads a response
	awaitBody                 // a request's body
	awaitHead                 // a first request, or the rest of a head
	awaitClose                // that the client closes the connection
	awaitKinds   = iota
)

// stallTime is how long a connection waits for its client without progress before it may be
// closed in favour of others. Clients have sent a head within some round trips; readers of
// responses may be slower than senders.
var stallTime = [awaitKinds]time.Duration{
	awaitNext:  time.Second,
	awaitRead:  2 * time.Second,
	awaitBody:  time.Second,
	awaitHead:  100 * time.Millisecond,
	awaitClose: 0,
}

// progressBytes is how much of a body must arrive to count as progress.
const progressBytes = 4 << 10

// stall is how long a connection has waited for its client, and for what.
type stall struct {
	kind await
	time time.Duration
}

// exceeds reports whether a connection is to be closed rather than another. What the client
// owes first counts more than the time: a client that keeps a connection for later harms
// less than one that holds a request.
func (s stall) exceeds(o stall) bool {
	return s.kind > o.kind || s.kind == o.kind && s.time > o.time
}

// waiting records what a connection waits for.
type waiting struct {
	kind  atomic.Int32
	since atomic.Int64 // in nanoseconds, as monotonic
}

func (w *waiting) begin(kind await) {
	w.since.Store(int64(monotonic()))
	w.kind.Store(int32(kind))
}

// resume continues to wait since the time of an earlier begin or progress.
func (w *waiting) resume(kind await) { w.kind.Store(int32(kind)) }

func (w *waiting) end() { w.kind.Store(int32(awaitNothing)) }

func (w *waiting) progress() { w.since.Store(int64(monotonic())) }

// stalled returns the stall if it is long enough to close the connection; otherwise the zero
// value.
func (w *waiting) stalled(now time.Duration) stall {
	kind := await(w.kind.Load())
	s := stall{kind: kind, time: now - time.Duration(w.since.Load())}
	if kind == awaitNothing || s.time < stallTime[kind] {
		return stall{}
	}
	return s
}

var processStart = time.Now()

// monotonic returns the time since the start of the process.
func monotonic() time.Duration { return time.Since(processStart) }

// limitedListener closes connections above the limit at once. Not accepting them
// would hide from clients that the node is full, and keep the connections until
// they time out.
type limitedListener struct {
	net.Listener
	limit  *ConnLimit
	active *atomic.Int64 // requests of the server
}

// Accept implements net.Listener. It returns serverConns.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := newServerConn(raw, l.limit, l.active)
		if l.limit.admit(c) {
			return c, nil
		}
		_ = raw.Close()
	}
}
