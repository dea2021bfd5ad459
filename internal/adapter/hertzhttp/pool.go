package hertzhttp

import (
	"math"
	"sync"
	"time"

	"peardrift/internal/core/conn"
	"peardrift/internal/status"
	"peardrift/internal/timeralign"
	"peardrift/internal/wire"
)

// pool holds the connections to one address. Package conn makes the decisions;
// pool carries them out. It is safe for concurrent use.
type pool struct {
	client *Client
	addr   string

	mu             sync.Mutex
	core           *conn.Peer
	conns          map[conn.ID]*clientConn
	actions        []conn.Action
	timer          *time.Timer
	timerAt        time.Duration // when the timer fires
	sweepScheduled bool          // sweep is scheduled
	closed         bool
}

func newPool(c *Client, addr string) *pool {
	p := &pool{
		client: c, addr: addr,
		core: conn.NewPeer(&c.connConfig), conns: make(map[conn.ID]*clientConn), timerAt: math.MaxInt64,
	}
	p.timer = time.AfterFunc(math.MaxInt64, p.tick)
	return p
}

// get returns a connection for the call identified by tag. If it fails, nothing
// was sent.
func (p *pool) get(tag string, timeout time.Duration) (*clientConn, error) {
	for {
		c, result := p.acquire(tag)
		switch result {
		case conn.Full:
			return nil, status.New(status.CodeConnectFailed, "all %d connections to %s are in use", p.client.connConfig.MaxConns, p.addr)
		case conn.Dial:
			return p.dial(tag, timeout)
		}
		if c.stopWatch() {
			return c, nil
		}
		p.finish(c, conn.Aborted)
	}
}

func (p *pool) acquire(tag string) (*clientConn, conn.TakeResult) {
	p.mu.Lock()
	defer p.mu.Unlock()
	id, result := p.core.Take(p.client.now())
	p.armTimer()
	if result != conn.Reuse {
		return nil, result
	}
	c := p.conns[id]
	c.idle, c.tag = false, tag
	c.waitingLocally.Store(false)
	c.streaming.Store(false)
	return c, result
}

func (p *pool) dial(tag string, timeout time.Duration) (*clientConn, error) {
	raw, sock, err := dial(p.addr, min(timeout, p.client.cfg.DialTimeout))
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.core.DialFailed()
		return nil, status.Wrap(status.CodeConnectFailed, err, "cannot connect to %s", p.addr)
	}
	c := newClientConn(p, raw, sock)
	if p.client.cfg.CompressHeaders {
		c.packer = wire.NewPacker()
	}
	c.id, c.tag = p.core.Opened(p.client.now()), tag
	p.conns[c.id] = c
	p.armTimer()
	return c, nil
}

// finish records how a call on a connection ended, and closes the connection
// unless it can be reused.
func (p *pool) finish(c *clientConn, end conn.End) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		end = conn.Aborted
	}
	if !p.core.End(p.client.now(), c.id, end) {
		p.remove(c)
		return
	}
	c.idle, c.idleSince = true, p.client.now()
	c.completed++
	p.armTimer()
	p.scheduleSweep()
}

// sweep starts a watch on connections that have been idle for WatchAfter.
func (p *pool) sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sweepScheduled = false
	now := p.client.now()
	for _, c := range p.conns {
		switch {
		case !c.idle || c.watching:
		case now-c.idleSince >= p.client.cfg.WatchAfter:
			c.startWatch()
		default:
			p.scheduleSweep()
		}
	}
}

// scheduleSweep starts the sweep timer unless it is running. Called with mu held.
func (p *pool) scheduleSweep() {
	if !p.sweepScheduled {
		p.sweepScheduled = true
		time.AfterFunc(timeralign.Until(time.Now(), p.client.cfg.WatchAfter, sweepAlignment), p.sweep)
	}
}

// discardIdle removes an idle connection that the peer closed or sent bytes on.
// The bytes would otherwise be taken for the response to the next call.
func (p *pool) discardIdle(c *clientConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.idle {
		p.core.IdleClosed(c.id)
		p.remove(c)
	}
}

// setPeerIdleTimeout records how long the peer keeps idle connections, as it
// states in a response.
func (p *pool) setPeerIdleTimeout(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.core.SetPeerIdleTimeout(d)
}

// recordActivity records that bytes were sent or received on a connection.
func (p *pool) recordActivity(c *clientConn, received bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.core.RecordActivity(p.client.now(), c.id, received)
	p.armTimer()
}

// remove closes a connection that the core has dropped. Called with mu held.
func (p *pool) remove(c *clientConn) {
	c.idle = false
	delete(p.conns, c.id)
	_ = c.Conn.Close()
}

// tick checks for connections that have been idle too long or gone silent.
func (p *pool) tick() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	p.timerAt = math.MaxInt64
	p.actions = p.core.Tick(p.client.now(), p.actions[:0])
	for _, a := range p.actions {
		p.perform(a)
	}
	p.armTimer()
}

// perform carries out an action of the core. Called with mu held.
func (p *pool) perform(a conn.Action) {
	if a.Kind == conn.Probe {
		tags := make(map[conn.ID]string, len(a.Conns))
		for _, id := range a.Conns {
			tags[id] = p.conns[id].tag
		}
		go p.probe(tags)
		return
	}
	for _, id := range a.Conns {
		c := p.conns[id]
		if a.Kind == conn.Fail {
			c.lost.Store(true)
		}
		p.remove(c)
	}
}

// armTimer resets the timer if the core's next tick is earlier. Called with mu
// held.
func (p *pool) armTimer() {
	next := p.core.Next()
	if p.closed || next >= p.timerAt {
		return
	}
	now := time.Now()
	wait := timeralign.Until(now, next-now.Sub(p.client.epoch), tickAlignment)
	p.timerAt = now.Sub(p.client.epoch) + wait
	p.timer.Reset(max(wait, time.Millisecond))
}

const (
	// tickAlignment is the step to which ticks are aligned, so that the pools of all
	// peers share wake-ups.
	tickAlignment = 100 * time.Millisecond
	// sweepAlignment is the same for sweeps.
	sweepAlignment = 500 * time.Millisecond
)

// closeIdle closes all idle connections.
func (p *pool) closeIdle(closing bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, c := range p.conns {
		if c.idle {
			p.core.IdleClosed(id)
			p.remove(c)
		}
	}
	if closing {
		p.closed = true
		p.timer.Stop()
	}
}

// openCount returns the number of connections that are in use, idle or being
// dialed.
func (p *pool) openCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.core.Open()
}
