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
	"peardrift/internal/core/configset"
	"peardrift/internal/core/configsync"
	"peardrift/internal/core/member"
	"peardrift/internal/core/request"
	"peardrift/internal/port"
	"peardrift/internal/status"
)

// configManager executes the actions of the configsync core: it queries peers, reads the
// platform, and gossips heads. Its fields belong to the control goroutine.
type configManager struct {
	log       *zap.Logger
	state     *configsync.State
	store     port.Sets
	calls     *rpc.Pool
	submit    func(func()) error
	post      func(func())
	now       func() time.Duration // includes the time for which the machine is suspended
	gossip    func(member.Fact)
	onInstall func()        // called for each version that takes effect
	watch     *watcher      // nil if the platform can't be watched for changes
	readLevel zapcore.Level // log level of platform reads made outside the watch

	factsVersion uint64 // version of the facts processed last
	lastAskID    uint64
	pendingAsks  map[uint64]chan configsync.Reply
	deferred     []configsync.Action // actions from heartbeats, executed at the next tick
}

func (c *configManager) index() *configset.Index { return c.state.Index() }

func (c *configManager) tick() {
	deferred := c.deferred
	c.deferred = nil
	c.execute(deferred)
	c.execute(c.state.Tick(c.now()))
	c.watch.tick()
}

// heartbeatPiggyback piggybacks configuration on heartbeats. Actions that result wait
// for the next tick, since they may call the membership.
type heartbeatPiggyback struct{ config *configManager }

func (r heartbeatPiggyback) Request(room int) []byte { return r.config.state.PiggybackQuery(room) }

func (r heartbeatPiggyback) Reply(request []byte, room int) []byte {
	return r.config.state.PiggybackAnswer(request, room)
}

func (r heartbeatPiggyback) HandleReply(_ time.Duration, answer []byte) {
	r.config.deferred = append(r.config.deferred, r.config.state.HandlePiggyback(r.config.now(), answer)...)
}

// learnGossiped processes the gossiped heads if any fact has changed.
func (c *configManager) learnGossiped(s *member.State) {
	if s.FactsVersion() == c.factsVersion {
		return
	}
	c.factsVersion = s.FactsVersion()
	for _, f := range s.Facts(member.ConfigHead) {
		h, err := configsync.HeadOf(f.Key, f.Version, f.Value)
		if err != nil {
			c.log.Warn("gossiped head", zaplog.Error(err))
			continue
		}
		c.execute(c.state.Learn(c.now(), h))
	}
}

// setPeers passes the other nodes to the core and the watch.
func (c *configManager) setPeers(v *member.View, region string, complete bool) {
	var all, near []configsync.Peer
	v.All(func(m member.Member) bool {
		if m.Status != member.Alive && m.Status != member.Suspect {
			return true
		}
		p := configsync.Peer{ID: m.ID, Region: m.Region, Addr: m.ControlAddr}
		all = append(all, p)
		if m.Region == region {
			near = append(near, p)
		}
		return true
	})
	c.state.SetPeers(all, near, complete)
	c.watch.setPeers(near, complete)
}

// execute starts actions without blocking; results return through post.
func (c *configManager) execute(actions []configsync.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case configsync.AskPeer:
			c.callAsync(a.ID, func(ctx context.Context) (func() []configsync.Action, error) { return c.ask(ctx, a) })
		case configsync.LoadObject:
			c.callAsync(a.ID, func(ctx context.Context) (func() []configsync.Action, error) { return c.load(ctx, a) })
		case configsync.ReadHead:
			c.callAsync(a.ID, func(ctx context.Context) (func() []configsync.Action, error) { return c.readHead(ctx, a) })
		case configsync.ReadTenants:
			c.callAsync(a.ID, func(ctx context.Context) (func() []configsync.Action, error) { return c.readTenants(ctx, a) })
		case configsync.Answer:
			c.sendReply(a)
		case configsync.Install:
			c.onInstall()
			c.log.Info("configuration in force", zaplog.Tenant(a.Head.Tenant), zaplog.Version(a.Head.Version),
				zap.String("by", string(a.By)))
			c.watch.handleInstalled(a.Head)
		case configsync.GossipHead:
			c.logNewerVersion(a.Head)
			key, version, value := configsync.FactOf(a.Head)
			c.gossip(member.Fact{Kind: member.ConfigHead, Key: key, Version: version, Value: value})
		}
	}
}

// logNewerVersion logs that a version is known before it is in force. It tells a node
// that never heard of the version from one that could not fetch it.
func (c *configManager) logNewerVersion(h configset.Head) {
	if h.Version > c.state.InForce(h.Tenant) {
		c.log.Info("newer configuration known", zaplog.Tenant(h.Tenant), zaplog.Version(h.Version))
	}
}

// logRead logs a platform read made outside the watch. With a watch such reads are rare,
// and the line shows which of the two found a version; without one a few nodes poll all
// rows every two seconds.
func (c *configManager) logRead(what string, version int64) {
	c.log.Log(c.readLevel, "platform read", zap.String("what", what), zaplog.Version(version))
}

// callAsync runs a call on the pool and passes its outcome to the core. If the pool is
// full the call is dropped, and the core treats it as failed after a timeout.
func (c *configManager) callAsync(id uint64, call func(context.Context) (func() []configsync.Action, error)) {
	_ = c.submit(func() {
		cfg := configsync.DefaultConfig()
		ctx, cancel := context.WithTimeout(context.Background(), max(cfg.AskTimeout, cfg.LoadTimeout))
		defer cancel()
		outcome, err := call(ctx)
		if err != nil {
			c.logFailure(err)
			outcome = func() []configsync.Action { return c.state.HandleFailure(c.now(), id) }
		}
		c.post(func() { c.execute(outcome()) })
	})
}

// logFailure logs a failed fetch. Without the line, a node that can't get the newest
// version, for example because it lacks a permission at the platform, looks merely slow.
// A peer that doesn't answer is common, and another is asked; it is logged at debug level.
func (c *configManager) logFailure(err error) {
	level := zap.WarnLevel
	switch status.CodeOf(err) {
	case status.CodeConnectionLost, status.CodeDeadlineExceeded: // from a peer
		level = zap.DebugLevel
	}
	c.log.Log(level, "configuration not fetched", zaplog.Error(err))
}

func (c *configManager) ask(ctx context.Context, a configsync.AskPeer) (func() []configsync.Action, error) {
	var reply configsync.Reply
	if err := c.calls.CallOnce(ctx, a.To.Addr, methodAsk, &a.Ask, &reply); err != nil {
		return nil, err
	}
	return func() []configsync.Action { return c.state.HandleReply(c.now(), a.ID, reply) }, nil
}

func (c *configManager) load(ctx context.Context, a configsync.LoadObject) (func() []configsync.Action, error) {
	body, err := c.store.Body(ctx, a.Head.Tenant, a.Head.Digest)
	if err != nil {
		return nil, err
	}
	return func() []configsync.Action { return c.state.HandleLoaded(c.now(), a.ID, body) }, nil
}

func (c *configManager) readHead(ctx context.Context, a configsync.ReadHead) (func() []configsync.Action, error) {
	h, err := c.store.Head(ctx, a.Tenant)
	if err != nil && !errors.Is(err, port.ErrNotFound) {
		return nil, err
	}
	c.logRead("head", h.Version)
	return func() []configsync.Action { return c.state.HandleHead(c.now(), a.ID, h) }, nil
}

func (c *configManager) readTenants(ctx context.Context, a configsync.ReadTenants) (func() []configsync.Action, error) {
	tenants, err := c.store.Tenants(ctx)
	if err != nil {
		return nil, err
	}
	c.logRead("tenants", 0)
	return func() []configsync.Action { return c.state.HandleTenants(c.now(), a.ID, tenants) }, nil
}

// handleAsk passes a peer's request to the core; the reply arrives on the channel.
func (c *configManager) handleAsk(a configsync.Ask) <-chan configsync.Reply {
	c.lastAskID++
	ch := make(chan configsync.Reply, 1)
	c.pendingAsks[c.lastAskID] = ch
	c.execute(c.state.HandleAsk(c.now(), c.lastAskID, a))
	return ch
}

func (c *configManager) sendReply(a configsync.Answer) {
	if ch, ok := c.pendingAsks[a.ID]; ok {
		delete(c.pendingAsks, a.ID)
		ch <- a.Reply
	}
}

// acceptedSets reads the sets that `peardrift apply` has stored.
type acceptedSets struct{ store *apply.Store }

// Tenants implements port.Sets.
func (a acceptedSets) Tenants(ctx context.Context) ([]request.Tenant, error) {
	ts, _, err := a.store.Tenants(ctx)
	return ts, err
}

// Head implements port.Sets.
func (a acceptedSets) Head(ctx context.Context, t request.Tenant) (configset.Head, error) {
	r, err := a.store.Head(ctx, t)
	if err != nil {
		return configset.Head{}, err
	}
	return configset.Head{Tenant: r.Tenant, Version: r.Version, Digest: r.Digest}, nil
}

// Body implements port.Sets.
func (a acceptedSets) Body(ctx context.Context, t request.Tenant, d configset.Digest) ([]byte, error) {
	return a.store.Body(ctx, t, d)
}
