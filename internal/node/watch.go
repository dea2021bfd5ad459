package node

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"peardrift/internal/adapter/rpc"
	"peardrift/internal/adapter/zaplog"
	"peardrift/internal/core/configset"
	"peardrift/internal/core/configsync"
	"peardrift/internal/core/configwatch"
	"peardrift/internal/core/request"
	"peardrift/internal/port"
)

// defaultPropagationBound is the value of Integration.PropagationBound where the platform
// sets none.
const defaultPropagationBound = 3 * time.Second

// WatchArgs is a child's request for the next version.
type WatchArgs struct {
	Request configwatch.PollRequest
	Base    int64 // base version of a delta; 0 for the whole set
}

// WatchReply is the reply to WatchArgs.
type WatchReply struct {
	Reply configwatch.PollReply
	Set   *configsync.Reply // nil if there is no newer set
}

// watcher executes the actions of the watch core: it queries the platform and the parent,
// and answers the children. Its fields belong to the control goroutine. The methods of a
// nil watcher do nothing.
type watcher struct {
	log    *zap.Logger
	core   *configwatch.State
	conf   *configManager
	sets   port.WatchedSets
	tenant request.Tenant
	calls  *rpc.Pool
	meter  *rpc.Meter
	submit func(func()) error
	post   func(func())
	now    func() time.Duration

	loggedRoot bool // the last logged role
	// loggedProblems is the version whose problems were logged last.
	loggedProblems int64
	staleSince     time.Duration // time since which the version may be stale; 0 while it is fresh
	lastAskID      uint64
	pending        map[uint64]pendingNext
	lostAt         time.Time // time since which the platform has not answered; zero while it does
}

// pendingNext is a child's request that waits for its reply.
type pendingNext struct {
	args WatchArgs
	ch   chan WatchReply
}

func (n *Node) newWatcher(c *control, meter *rpc.Meter) *watcher {
	if n.integration == nil {
		return nil
	}
	bound := n.integration.PropagationBound
	if bound <= 0 {
		bound = defaultPropagationBound
	}
	start := uptime()
	return &watcher{
		log: n.log, conf: c.config, sets: n.integration.Sets, tenant: n.self.Tenant,
		core:  configwatch.New(configwatch.ConfigFor(bound), n.self.ID, rand.New(rand.NewPCG(rand.Uint64(), uint64(n.self.ID))), 0),
		calls: n.calls, meter: meter, submit: n.pool.Submit, post: c.post,
		now:        func() time.Duration { return uptime() - start },
		pending:    make(map[uint64]pendingNext),
		staleSince: 1, // a starting node can't show yet that its version is the newest
	}
}

// tick runs at the start, before anything else calls the platform, and at each tick of
// the control goroutine.
func (w *watcher) tick() {
	if w != nil {
		w.execute(w.core.Tick(w.now()))
		w.logTransitions(w.now())
	}
}

// logTransitions logs when the node begins or stops querying the platform on behalf of
// the others (the root role), and when its version becomes stale or fresh.
func (w *watcher) logTransitions(now time.Duration) {
	if root := w.core.IsRoot(now); root != w.loggedRoot {
		w.loggedRoot = root
		w.log.Info("watch role", zap.Bool("root", root))
	}
	switch stale := w.core.IsStale(now); {
	case stale && w.staleSince == 0:
		w.staleSince = max(now, 1)
		w.log.Warn("configuration may be old", zap.Bool("root", w.loggedRoot))
	case !stale && w.staleSince != 0:
		w.log.Info("configuration is the newest", zap.Duration("after", now-w.staleSince))
		w.staleSince = 0
	}
}

// isStale reports whether the node can't show that its version is the newest.
func (w *watcher) isStale() bool { return w != nil && w.core.IsStale(w.now()) }

func (w *watcher) setPeers(near []configsync.Peer, complete bool) {
	if w == nil {
		return
	}
	peers := make([]configwatch.Peer, len(near))
	for i, p := range near {
		peers[i] = configwatch.Peer{ID: p.ID, Addr: p.Addr}
	}
	w.execute(w.core.SetPeers(w.now(), peers, complete))
}

// handleInstalled records that a version has taken effect, from whatever source.
func (w *watcher) handleInstalled(h configset.Head) {
	if w != nil && h.Tenant == w.tenant {
		w.execute(w.core.SetVersion(w.now(), h.Version))
	}
}

// execute starts actions without blocking; results return through post. An action that
// finds the pool full is dropped, and the core treats it as failed after its time limit.
func (w *watcher) execute(actions []configwatch.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case configwatch.PollPlatform:
			_ = w.submit(func() { w.pollPlatform(a) })
		case configwatch.PollPeer:
			args := WatchArgs{Request: a.Request, Base: w.conf.state.DeltaBase(w.tenant)}
			_ = w.submit(func() { w.pollPeer(a, args) })
		case configwatch.SendReply:
			w.sendReply(a)
		}
	}
}

func (w *watcher) pollPlatform(a configwatch.PollPlatform) {
	ctx, cancel := context.WithTimeout(context.Background(), a.Timeout)
	defer cancel()
	change, err := w.sets.Next(ctx, a.After, a.Wait)
	w.post(func() {
		w.logPlatform(err)
		if err != nil {
			w.execute(w.core.HandleFailure(w.now(), a.ID))
			return
		}
		var version int64
		if p := change.Set; p != nil {
			version = p.Head().Version
			w.logProblems(version, change.Problems)
			w.conf.execute(w.conf.state.HandlePlatformSet(w.conf.now(), p))
		} else if a.After == 0 {
			w.conf.execute(w.conf.state.HandlePlatformEmpty(w.conf.now()))
		}
		w.execute(w.core.HandlePlatformReply(w.now(), a.ID, version, change.Unchanged))
	})
}

func (w *watcher) pollPeer(a configwatch.PollPeer, args WatchArgs) {
	ctx, cancel := context.WithTimeout(context.Background(), a.Timeout)
	defer cancel()
	var reply WatchReply
	err := w.calls.Call(ctx, a.To.Addr, methodNext, &args, &reply)
	w.post(func() {
		if err != nil {
			w.execute(w.core.HandleFailure(w.now(), a.ID))
			return
		}
		w.excludeFromBudget(reply.Set)
		if reply.Set != nil {
			w.conf.execute(w.conf.state.HandlePush(w.conf.now(), w.tenant, *reply.Set))
		}
		w.execute(w.core.HandleReply(w.now(), a.ID, reply.Reply))
	})
}

// handlePoll passes a child's request to the core; the reply arrives on the channel.
func (w *watcher) handlePoll(args WatchArgs) <-chan WatchReply {
	ch := make(chan WatchReply, 1)
	if w == nil {
		ch <- WatchReply{}
		return ch
	}
	w.lastAskID++
	w.pending[w.lastAskID] = pendingNext{args: args, ch: ch}
	w.execute(w.core.HandlePoll(w.now(), w.lastAskID, args.Request))
	return ch
}

func (w *watcher) sendReply(a configwatch.SendReply) {
	p, ok := w.pending[a.ID]
	if !ok {
		return
	}
	delete(w.pending, a.ID)
	r := WatchReply{Reply: a.Reply}
	if a.Reply.Version > a.Have {
		r.Set = w.conf.state.ReplySince(w.conf.now(), w.tenant, p.args.Base)
	}
	w.excludeFromBudget(r.Set)
	p.ch <- r
}

// nextBytes is the size of a request and its reply without a set.
const nextBytes = 36

// excludeFromBudget excludes a request and its reply from the control budget. They
// deliver the configuration, which has priority over everything else that the budget
// pays for.
func (w *watcher) excludeFromBudget(set *configsync.Reply) {
	size := nextBytes
	if set != nil {
		size += len(set.Delta) + len(set.Whole)
	}
	w.meter.Exclude(size)
}

// logProblems logs which parts of a version can't be put in force, once for each version.
func (w *watcher) logProblems(version int64, problems []configset.Problem) {
	if len(problems) == 0 || version == w.loggedProblems {
		return
	}
	w.loggedProblems = version
	for _, p := range problems[:min(len(problems), maxLoggedProblems)] {
		w.log.Warn("part of the configuration not in force",
			zap.Int64("version", version), zap.String("field", p.Field), zap.String("problem", p.Message), zap.Int("problems", len(problems)))
	}
}

// maxLoggedProblems limits the lines for one version.
const maxLoggedProblems = 10

// logPlatform logs that the platform stopped answering, or for how long it had not
// answered.
func (w *watcher) logPlatform(err error) {
	if (err != nil) == !w.lostAt.IsZero() {
		return
	}
	if err != nil {
		w.lostAt = time.Now()
		w.log.Warn("store lost", zaplog.Error(err))
		return
	}
	w.log.Info("store regained", zap.Duration("after", time.Since(w.lostAt)))
	w.lostAt = time.Time{}
}
