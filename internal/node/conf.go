package node

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"peardrift/internal/adapter/rpc"
	"peardrift/internal/adapter/zaplog"
	"peardrift/internal/apply"
	"peardrift/internal/core/confset"
	"peardrift/internal/core/inforce"
	"peardrift/internal/core/member"
	"peardrift/internal/core/request"
	"peardrift/internal/port"
	"peardrift/internal/status"
)

// configuration carries out what the inforce core decides: it asks peers, reads
// the platform, and gossips heads. Its fields belong to the control goroutine.
type configuration struct {
	log    *zap.Logger
	state  *inforce.State
	store  port.Sets
	calls  *rpc.Pool
	submit func(func()) error
	post   func(func())
	now    func() time.Duration
	spread func(member.Fact)
	count  func()        // told of each version that came in force
	watch  *watcher      // nil where the platform doesn't tell of changes
	read   zapcore.Level // of the lines on reads beside the watch

	facts   uint64 // version of the facts that were looked at
	asks    uint64
	answers map[uint64]chan inforce.Reply
	ridden  []inforce.Action // of what came with heartbeats, for the next tick
}

func (c *configuration) index() *confset.Index { return c.state.Index() }

func (c *configuration) tick() {
	ridden := c.ridden
	c.ridden = nil
	c.do(ridden)
	c.do(c.state.Tick(c.now()))
	c.watch.tick()
}

// rider lets the configuration ride along with the heartbeats. What is to be done
// then waits for the next tick, since it may call the membership.
type rider struct{ conf *configuration }

func (r rider) Ask(room int) []byte { return r.conf.state.RideAsk(room) }

func (r rider) Answer(question []byte, room int) []byte {
	return r.conf.state.RideAnswer(question, room)
}

func (r rider) Take(now time.Duration, answer []byte) {
	r.conf.ridden = append(r.conf.ridden, r.conf.state.RideTake(now, answer)...)
}

// learn looks at the gossiped heads if any fact has changed.
func (c *configuration) learn(s *member.State) {
	if s.FactsVersion() == c.facts {
		return
	}
	c.facts = s.FactsVersion()
	for _, f := range s.Facts(member.ConfigHead) {
		h, err := inforce.HeadOf(f.Key, f.Version, f.Value)
		if err != nil {
			c.log.Warn("gossiped head", zaplog.Failure(err))
			continue
		}
		c.do(c.state.Learn(c.now(), h))
	}
}

// setPeers tells the core who else there is.
func (c *configuration) setPeers(v *member.View, region string, complete bool) {
	var all, near []inforce.Peer
	v.All(func(m member.Member) bool {
		if m.Status != member.Alive && m.Status != member.Suspect {
			return true
		}
		p := inforce.Peer{ID: m.ID, Region: m.Region, Addr: m.Control}
		all = append(all, p)
		if m.Region == region {
			near = append(near, p)
		}
		return true
	})
	c.state.SetPeers(all, near, complete)
	c.watch.setPeers(near, complete)
}

// do carries out actions without blocking; outcomes come back by post.
func (c *configuration) do(actions []inforce.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case inforce.AskPeer:
			c.background(a.ID, func(ctx context.Context) (func() []inforce.Action, error) { return c.ask(ctx, a) })
		case inforce.LoadObject:
			c.background(a.ID, func(ctx context.Context) (func() []inforce.Action, error) { return c.load(ctx, a) })
		case inforce.ReadHead:
			c.background(a.ID, func(ctx context.Context) (func() []inforce.Action, error) { return c.readHead(ctx, a) })
		case inforce.ReadTenants:
			c.background(a.ID, func(ctx context.Context) (func() []inforce.Action, error) { return c.readTenants(ctx, a) })
		case inforce.Answer:
			c.answer(a)
		case inforce.Install:
			c.count()
			c.log.Info("configuration in force", zaplog.Tenant(a.Head.Tenant), zaplog.Version(a.Head.Version),
				zap.String("by", string(a.By)))
			c.watch.installed(a.Head)
		case inforce.Spread:
			c.logNewer(a.Head)
			key, version, value := inforce.FactOf(a.Head)
			c.spread(member.Fact{Kind: member.ConfigHead, Key: key, Version: version, Value: value})
		}
	}
}

// logNewer tells that a version is known before it is in force. Without it a node
// that was never told looks like one that was told and could not fetch it.
func (c *configuration) logNewer(h confset.Head) {
	if h.Version > c.state.InForce(h.Tenant) {
		c.log.Info("newer configuration known", zaplog.Tenant(h.Tenant), zaplog.Version(h.Version))
	}
}

// logRead tells of a read at the platform that no watch made. Beside a watch such
// reads are rare, and what one has found and the other has not is told apart by them;
// without one a few nodes poll all rows every other second.
func (c *configuration) logRead(what string, version int64) {
	c.log.Log(c.read, "platform read", zap.String("what", what), zaplog.Version(version))
}

// background runs a call on the pool and gives its outcome to the core. Without
// a free goroutine the call is dropped; the core takes it as failed after a
// time.
func (c *configuration) background(id uint64, call func(context.Context) (func() []inforce.Action, error)) {
	_ = c.submit(func() {
		cfg := inforce.DefaultConfig()
		ctx, cancel := context.WithTimeout(context.Background(), max(cfg.AskTimeout, cfg.LoadTimeout))
		defer cancel()
		outcome, err := call(ctx)
		if err != nil {
			c.logFailure(err)
			outcome = func() []inforce.Action { return c.state.HandleFailure(c.now(), id) }
		}
		c.post(func() { c.do(outcome()) })
	})
}

// logFailure tells of a fetch that failed. Without it a node that can't get the
// newest version, for want of a right at the platform for example, looks like
// one that takes long. A peer that doesn't answer is common: another is asked.
func (c *configuration) logFailure(err error) {
	level := zap.WarnLevel
	switch status.CodeOf(err) {
	case status.CodeConnectionLost, status.CodeDeadlineExceeded: // a peer's
		level = zap.DebugLevel
	}
	c.log.Log(level, "configuration not fetched", zaplog.Failure(err))
}

func (c *configuration) ask(ctx context.Context, a inforce.AskPeer) (func() []inforce.Action, error) {
	var reply inforce.Reply
	if err := c.calls.CallOnce(ctx, a.To.Addr, methodAsk, &a.Ask, &reply); err != nil {
		return nil, err
	}
	return func() []inforce.Action { return c.state.HandleReply(c.now(), a.ID, reply) }, nil
}

func (c *configuration) load(ctx context.Context, a inforce.LoadObject) (func() []inforce.Action, error) {
	body, err := c.store.Body(ctx, a.Head.Tenant, a.Head.Digest)
	if err != nil {
		return nil, err
	}
	return func() []inforce.Action { return c.state.HandleLoaded(c.now(), a.ID, body) }, nil
}

func (c *configuration) readHead(ctx context.Context, a inforce.ReadHead) (func() []inforce.Action, error) {
	h, err := c.store.Head(ctx, a.Tenant)
	if err != nil && !errors.Is(err, port.ErrNotFound) {
		return nil, err
	}
	c.logRead("head", h.Version)
	return func() []inforce.Action { return c.state.HandleHead(c.now(), a.ID, h) }, nil
}

func (c *configuration) readTenants(ctx context.Context, a inforce.ReadTenants) (func() []inforce.Action, error) {
	tenants, err := c.store.Tenants(ctx)
	if err != nil {
		return nil, err
	}
	c.logRead("tenants", 0)
	return func() []inforce.Action { return c.state.HandleTenants(c.now(), a.ID, tenants) }, nil
}

// asked passes a peer's question to the core; the answer comes on the channel.
func (c *configuration) asked(a inforce.Ask) <-chan inforce.Reply {
	c.asks++
	ch := make(chan inforce.Reply, 1)
	c.answers[c.asks] = ch
	c.do(c.state.HandleAsk(c.now(), c.asks, a))
	return ch
}

func (c *configuration) answer(a inforce.Answer) {
	if ch, ok := c.answers[a.ID]; ok {
		delete(c.answers, a.ID)
		ch <- a.Reply
	}
}

// accepted reads the sets that the project's own tool has had accepted.
type accepted struct{ store *apply.Store }

// Tenants implements port.Sets.
func (a accepted) Tenants(ctx context.Context) ([]request.Tenant, error) {
	ts, _, err := a.store.Tenants(ctx)
	return ts, err
}

// Head implements port.Sets.
func (a accepted) Head(ctx context.Context, t request.Tenant) (confset.Head, error) {
	r, err := a.store.Head(ctx, t)
	if err != nil {
		return confset.Head{}, err
	}
	return confset.Head{Tenant: r.Tenant, Version: r.Version, Digest: r.Digest}, nil
}

// Body implements port.Sets.
func (a accepted) Body(ctx context.Context, t request.Tenant, d confset.Digest) ([]byte, error) {
	return a.store.Body(ctx, t, d)
}
