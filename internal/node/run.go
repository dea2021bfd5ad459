package node

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"peardrift/internal/adapter/zaplog"
	"peardrift/internal/core/member"
	"peardrift/internal/dataplane"
	"peardrift/internal/timeralign"
)

// Run joins, serves until ctx ends, and then shuts down gracefully. The end of kill cuts
// the shutdown short.
func (n *Node) Run(ctx, kill context.Context) error {
	if err := n.register(); err != nil {
		return err
	}
	n.engine.OnCrash(n.reportCrash)
	n.engine.OnOtherInstance(n.handleOtherInstance)
	n.engine.OnNotice(n.handleNotice)
	n.engine.OnFigureTrust(n.logFigureTrust)
	if n.integration == nil {
		n.health = newHealthChecker(n.settings.Target, n.local, func(up bool) {
			n.control.post(func() { n.control.setTargetUp(up) })
		})
		n.engine.OnShed(n.health.requestCheck)
	} else {
		n.engine.SetTargetState(dataplane.TargetState{}) // no call runs until the target reports
	}
	inner, stop := context.WithCancel(context.Background())
	defer stop()
	n.start(inner)
	n.log.Info("serving",
		zap.String("callers", n.servers.callers.Addr()), zap.String("nodes", n.servers.nodes.Addr()),
		zap.String("target", n.settings.Listen.Target), zap.String("control", n.controlListener.Addr().String()),
		zap.String("ops", n.servers.ops.Addr()))
	<-ctx.Done()
	n.shutdown(kill)
	stop()
	n.close()
	n.wg.Wait()
	return nil
}

func (n *Node) start(ctx context.Context) {
	n.watchRestores(ctx)
	n.spawn(func() { _ = n.server.Serve(n.controlListener) })
	n.spawn(func() { n.control.loop(ctx, member.DefaultConfig().TickInterval) })
	n.spawn(func() { n.join(ctx) })
	if n.recallsLeaves() {
		// A shutdown doesn't wait for the pool, so a silent table doesn't delay it.
		_ = n.pool.Submit(func() { n.recallLeaves(ctx) })
	}
	if n.health != nil {
		n.spawn(func() { n.health.run(ctx) })
	}
	n.spawn(func() { runEvery(ctx, probeInterval, func(time.Time) { n.engine.ProbeTargets(n.pool.Submit) }) })
	for _, s := range n.servers.all() {
		s.Start()
	}
}

func (n *Node) spawn(f func()) {
	n.wg.Add(1)
	go func() {
		defer n.wg.Done()
		f()
	}()
}

// Reload logs that a reload was requested. Changed settings take effect at a restart only.
func (n *Node) Reload() {
	n.log.Info("reload", zap.String("effect", "settings take effect at the next start; configuration sets need no restart"))
}

// joinInterval is the time between reads of the seed rows while the platform does not
// answer; it doubles while the platform answers but names few nodes.
const joinInterval = time.Second

// join joins the membership: through the settings' peers at once, and through the
// platform as soon as it answers.
func (n *Node) join(ctx context.Context) {
	s := n.newSeedStore()
	var known []member.Peer
	for _, p := range n.settings.Peers {
		known = append(known, member.Peer{ControlAddr: p})
	}
	n.joinThrough(known)
	if n.integration != nil && n.integration.Bootstrap && !sleep(ctx, rand.N(bootstrapJitter)) {
		return
	}
	for round := 0; ; round++ {
		found, wrote, err := s.join(ctx)
		if len(found) > 0 {
			n.joinThrough(found)
		}
		if err == nil {
			n.control.post(func() { n.control.handleSeedsRead(found) })
		}
		if err != nil {
			n.log.Warn("no nodes from the platform", zaplog.Error(err))
			round = 0
		} else if round > 0 && len(found) >= enoughSeeds || round >= maxJoinRounds {
			return
		}
		if !sleep(ctx, joinDelay(round)) {
			return
		}
		if !wrote && len(found) >= enoughSeeds && n.joined() {
			return
		}
	}
}

// bootstrapJitter is the time over which the nodes of a fleet that starts for the first
// time spread their first read of the seed rows: later nodes find the rows of the first
// ones and need not write or read again.
const bootstrapJitter = 300 * time.Millisecond

// joined reports whether any other node has answered.
func (n *Node) joined() bool {
	var others int
	n.control.ask(func() { others = countActive(n.control.state.Snapshot()) - 1 })
	return others > 0
}

// maxJoinRounds is how often a node reads the seed rows again if it found few others, or
// none that answered, or has written a row itself. Nodes that start together find the
// rows empty or only those of the first few; without another read each would take itself
// for the first, or these few for all, and the partitions would merge only by chance. A
// node that joined through other nodes' rows is in their partition, and they read again.
const maxJoinRounds = 3

// joinDelay returns the time before the next read, with jitter so that instances that
// restart together don't call the platform at once.
func joinDelay(round int) time.Duration {
	pause := joinInterval << min(round, maxJoinRounds)
	return pause + rand.N(pause)
}

func (n *Node) joinThrough(ps []member.Peer) {
	n.control.post(func() {
		info, ok := n.control.config.index().Service(n.self.Service)
		if !ok {
			n.control.state.Join(ps, nil)
		} else {
			n.control.state.Join(ps, info.Calls)
		}
		n.control.joinWithoutDelay()
		n.control.retryRecall()
	})
}

// probeInterval is the time between checks for targets whose broken connections are due
// for another attempt.
const probeInterval = 100 * time.Millisecond

// runEvery calls f at each tick until ctx ends.
func runEvery(ctx context.Context, d time.Duration, f func(time.Time)) {
	tick := time.NewTimer(timeralign.Until(time.Now(), 0, d))
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			f(now)
			tick.Reset(timeralign.Until(time.Now(), d/2, d))
		}
	}
}

// shutdown announces the leave, keeps serving while the announcement spreads, and then
// waits for the calls in flight.
//
// The order matters: closing the listener first would break calls of nodes that haven't
// received the announcement, and ending before the target's calls complete would leave
// their callers with an unknown outcome.
func (n *Node) shutdown(kill context.Context) {
	ctx, cancel := context.WithTimeout(kill, n.settings.Shutdown.Grace)
	defer cancel()
	n.log.Info("leaving")
	n.engine.BeginStop()
	if n.integration != nil {
		// The target outlives its node, and other targets take over its load only once
		// it accepts no calls. It therefore accepts calls until callers are redirected.
		n.control.ask(n.control.retire)
		sleep(ctx, n.settings.Shutdown.Announce)
		n.control.ask(n.control.leave)
	} else {
		n.control.ask(n.control.leave)
		sleep(ctx, n.settings.Shutdown.Announce)
	}
	n.engine.RefuseCallers()
	n.waitDrained(ctx)
	n.control.ask(n.control.limiter.returnGrants)
	n.control.ask(n.control.announceDeparture)
	sleep(ctx, departureWait)
	n.log.Info("stopped", zap.Int("calls", n.engine.InFlight()))
}

// departureWait is the time allowed for the departure message to reach other nodes.
// Without it they would detect the departure by missed heartbeats and dial a dead address
// meanwhile.
const departureWait = 300 * time.Millisecond

// waitDrained waits until no call is in flight, all answers are received and all claims are
// settled. Listeners stay open while the target's answers are being sent to other nodes: the
// target may make calls meanwhile, and the other nodes probe for theirs.
func (n *Node) waitDrained(ctx context.Context) {
	for (n.engine.InFlight() > 0 || n.servers.nodes.Active() > 0) && sleep(ctx, drainPollInterval) {
	}
	for _, s := range n.servers.all() {
		_ = s.Shutdown(ctx)
	}
	if err := n.claims.Close(ctx); err != nil {
		n.log.Error("claims not settled", zaplog.Error(err))
	}
	if err := n.rows.Close(ctx); err != nil {
		n.log.Error("other nodes' claims not written", zaplog.Error(err))
	}
}

const drainPollInterval = 10 * time.Millisecond

// sleep waits for d; it returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// close releases the resources that New acquired.
func (n *Node) close() {
	for _, s := range n.servers.all() {
		s.Close()
	}
	if n.controlListener != nil {
		_ = n.controlListener.Close()
	}
	if n.server != nil {
		n.server.Close()
		n.calls.Close()
	}
	n.claimPeers.Close()
	n.peers.Close()
	n.crossZone.Close()
	n.local.Close()
	n.resends.Close()
	n.engine.Close()
	n.table.Close()
	if n.objects != nil {
		n.objects.Close()
	}
	n.pool.Release()
	n.closeObservers()
}

const exportTimeout = 2 * time.Second

func (n *Node) closeObservers() {
	ctx, cancel := context.WithTimeout(context.Background(), exportTimeout)
	defer cancel()
	if err := n.tracer.Close(ctx); err != nil {
		n.log.Warn("traces not exported", zaplog.Error(err))
	}
	_ = n.metrics.Close()
	_ = n.closeLog()
}
