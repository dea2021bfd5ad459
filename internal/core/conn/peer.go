package conn

import (
	"math"
	"slices"
	"time"
)

// ID identifies a connection to a peer; IDs are not reused.
type ID uint64

// TakeResult is the result of Take.
type TakeResult uint8

const (
	// Full: all connections are in use; the call is refused as not executed.
	Full TakeResult = iota
	// Reuse: use the idle connection with the returned ID.
	Reuse
	// Dial: open a new connection, then call Opened or DialFailed.
	Dial
)

// End is how a call on a connection ended.
type End uint8

const (
	// Aborted: any end other than those below: timeout, cancellation, partially read
	// response, broken connection. It is the zero value, so that a missing
	// assignment closes the connection.
	Aborted End = iota
	// Complete: the complete response was read, and the peer keeps the connection open.
	Complete
	// CompleteAndClose: the complete response was read, and the peer closes the connection.
	CompleteAndClose
)

// conn is one open connection.
type conn struct {
	inUse        bool
	opened       time.Duration
	callStart    time.Duration // start of the call, if in use
	lastActivity time.Duration // last time that a byte was sent or received
	responding   bool          // a byte of the response arrived
	silence      silenceState
}

// Peer holds the connections to one peer.
type Peer struct {
	cfg              *Config
	conns            map[ID]*conn
	idle             []ID // least recently active first
	dialing          int
	lastID           ID
	firstByte        rttEstimate // time to the first byte
	probe            probeState
	peerIdleTimeout  time.Duration // idle timeout that the peer announced; 0: none
	closeUnconfirmed bool          // the peer could not tell the state of a call: idle connections may be dead too
	next             time.Duration
}

// NewPeer returns a Peer without connections.
func NewPeer(cfg *Config) *Peer {
	return &Peer{cfg: cfg, conns: map[ID]*conn{}, next: never}
}

const never = time.Duration(math.MaxInt64)

// SetPeerIdleTimeout records the idle timeout that the peer announced.
func (p *Peer) SetPeerIdleTimeout(d time.Duration) { p.peerIdleTimeout = d }

// idleTimeout returns how long a connection is kept idle: less than the peer keeps
// it, or a call could be sent on a connection that the peer is closing.
func (p *Peer) idleTimeout() time.Duration {
	if p.peerIdleTimeout <= 0 {
		return p.cfg.IdleTimeout
	}
	return p.peerIdleTimeout * idleTimeoutTenths / 10
}

// idleTimeoutTenths is the fraction of the peer's idle timeout for which a
// connection is kept, in tenths.
const idleTimeoutTenths = 8

// Take returns a connection for a call: the most recently used idle one, which is
// the least likely to have been dropped on the path.
func (p *Peer) Take(now time.Duration) (ID, TakeResult) {
	if n := len(p.idle); n > 0 {
		id := p.idle[n-1]
		// If this one has expired, so have the others; Tick closes them.
		if c := p.conns[id]; now-c.lastActivity < p.idleTimeout() {
			p.idle = p.idle[:n-1]
			p.startCall(now, c)
			return id, Reuse
		}
	}
	if len(p.conns)+p.dialing >= p.cfg.MaxConns {
		return 0, Full
	}
	p.dialing++
	return 0, Dial
}

// Opened adds a dialed connection, in use by the call that requested it.
func (p *Peer) Opened(now time.Duration) ID {
	p.dialing--
	p.lastID++
	c := &conn{opened: now}
	p.conns[p.lastID] = c
	p.startCall(now, c)
	return p.lastID
}

// DialFailed records a failed dial.
func (p *Peer) DialFailed() { p.dialing-- }

func (p *Peer) startCall(now time.Duration, c *conn) {
	c.inUse, c.responding = true, false
	c.callStart, c.lastActivity = now, now
	c.silence = silenceState{}
	p.scheduleCheck(c, now+p.silenceTimeout())
}

// RecordActivity records activity: the network accepted bytes of the request or, if
// answer is set, bytes of the response arrived.
func (p *Peer) RecordActivity(now time.Duration, id ID, answer bool) {
	c := p.conns[id]
	if c == nil || !c.inUse {
		return
	}
	if answer && !c.responding {
		c.responding = true
		p.firstByte.add(now - c.callStart)
	}
	c.lastActivity = now
	c.silence = silenceState{}
	p.scheduleCheck(c, now+p.silenceTimeout())
}

// End records the end of a call. keep is false if the connection must be closed now;
// it has then been removed from the peer.
func (p *Peer) End(now time.Duration, id ID, end End) (keep bool) {
	c := p.conns[id]
	if c == nil || !c.inUse {
		return false
	}
	if end != Complete || len(p.idle) >= p.cfg.MaxIdle {
		delete(p.conns, id)
		return false
	}
	if !c.responding {
		p.firstByte.add(now - c.callStart)
	}
	c.inUse = false
	c.lastActivity = now
	p.idle = append(p.idle, id)
	p.scheduleTick(now + p.idleTimeout())
	return true
}

// IdleClosed records that the peer closed an idle connection, or that bytes arrived on it
// that belong to no call; the connection must be closed.
func (p *Peer) IdleClosed(id ID) {
	c := p.conns[id]
	if c == nil || c.inUse {
		return
	}
	delete(p.conns, id)
	if i := slices.Index(p.idle, id); i >= 0 {
		p.idle = slices.Delete(p.idle, i, i+1)
	}
}

// Open returns the number of connections in use, idle and being dialed.
func (p *Peer) Open() int { return len(p.conns) + p.dialing }

// Idle returns the number of idle connections.
func (p *Peer) Idle() int { return len(p.idle) }

// Next returns the time by which Tick is due; it may be early.
func (p *Peer) Next() time.Duration { return p.next }

func (p *Peer) scheduleTick(at time.Duration) { p.next = min(p.next, at) }

// rttEstimate tracks the mean and mean deviation of a time, as TCP does for its
// retransmission timer (RFC 6298).
type rttEstimate struct {
	mean, dev time.Duration
	hasSample bool
}

func (e *rttEstimate) add(d time.Duration) {
	if !e.hasSample {
		e.mean, e.dev, e.hasSample = d, d/2, true
		return
	}
	diff := d - e.mean
	e.mean += diff / 8
	e.dev += (diff.Abs() - e.dev) / 4
}

func (e *rttEstimate) upperBound() time.Duration { return e.mean + 4*e.dev }
