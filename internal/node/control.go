package node

import (
	"cmp"
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"peardrift/internal/adapter/rpc"
	"peardrift/internal/core/configset"
	"peardrift/internal/core/lifetime"
	"peardrift/internal/core/member"
	"peardrift/internal/core/request"
	"peardrift/internal/core/route"
	"peardrift/internal/dataplane"
	"peardrift/internal/timeralign"
)

// control owns the node's control state. All its fields belong to the goroutine
// that runs loop, except events.
type control struct {
	log      *zap.Logger
	self     dataplane.Self
	node     *Node // used for its gauges
	engine   *dataplane.Engine
	epoch    time.Time
	events   chan func()
	done     chan struct{}
	state    *member.State
	executor *rpc.ActionExecutor
	meter    *rpc.Meter
	config   *configManager
	limiter  *limiter

	viewGen         uint64
	lastTick        time.Duration // time of the last tick
	published       viewInputs
	incarnations    map[request.TargetID]firstSeen
	membersComplete bool // the member list has been complete at some time
	targetUp        bool
	targetLifetime  *lifetime.Tracker
	leaves          *leaveRecorder
	recall          recall
	leaving         bool
	retiring        bool // the node is about to stop and still takes calls
	overload        overloadDetector
	gateReport      gateReporter
}

// viewInputs are the values that a published view is built from.
type viewInputs struct {
	members  *member.View
	index    *configset.Index
	complete bool // the member list is complete
	ready    bool
	targetUp bool // the target accepts calls
	leaving  bool
	retiring bool // the node is about to stop
}

// firstSeen records when a target's incarnation was first seen.
type firstSeen struct {
	incarnation uint32
	since       time.Duration
}

// eventQueueLength is the capacity of the control goroutine's event queue. Posting
// blocks when it is full; only control traffic posts.
const eventQueueLength = 256

func (c *control) now() time.Duration { return time.Since(c.epoch) }

// post queues f to run on the control goroutine.
func (c *control) post(f func()) {
	select {
	case c.events <- f:
	case <-c.done:
	}
}

// ask runs f on the control goroutine and waits for it. It returns false if the
// goroutine has ended.
func (c *control) ask(f func()) bool {
	ran := make(chan struct{})
	c.post(func() {
		f()
		close(ran)
	})
	select {
	case <-ran:
		return true
	case <-c.done:
		return false
	}
}

// loop runs until ctx ends.
func (c *control) loop(ctx context.Context, interval time.Duration) {
	defer close(c.done)
	c.config.watch.tick()
	tick := time.NewTimer(timeralign.Until(time.Now(), 0, interval))
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-c.events:
			f()
		case <-tick.C:
			c.tick()
			tick.Reset(timeralign.Until(time.Now(), interval/2, interval))
		}
	}
}

// stallThreshold is the time without a tick that is logged as a stall: five tick
// intervals. A lower value reports a processor that is merely busy; a higher one hides
// stalls that explain other failures.
const stallThreshold = time.Second

// logStall logs that the control goroutine did not run for a while. Without the line, a
// frozen process looks idle in the logs, and the events it missed look like later faults.
func (c *control) logStall(now time.Duration) {
	if stall := now - c.lastTick; c.lastTick > 0 && stall > stallThreshold {
		c.log.Warn("stood still", zap.Duration("for", stall))
	}
	c.lastTick = now
}

func (c *control) tick() {
	c.logStall(c.now())
	spent := c.meter.TakeBytes()
	c.node.metrics.Counters.ControlBytes.Inc(int64(spent))
	c.state.Spend(spent)
	c.executor.Execute(c.state.Tick(c.now()))
	c.config.learnGossiped(c.state)
	c.config.tick()
	c.engine.SetConfigStale(c.config.watch.isStale())
	c.resumeTarget()
	c.publish()
	c.limiter.tick()
	c.node.updateGauges(c)
	c.node.logClosedConnections()
}

// handleInstall handles a configuration that has taken effect.
func (c *control) handleInstall() {
	c.node.metrics.Counters.ConfigChanges.Inc(1)
	c.retryRecall()
	c.publishOnceReady()
}

// publishOnceReady doesn't let a starting node that has become ready wait for the next
// tick.
func (c *control) publishOnceReady() {
	if !c.published.ready && c.canRoute() {
		c.publish()
	}
}

// publish hands the data plane a new view if any of its inputs changed.
func (c *control) publish() {
	next := viewInputs{
		members:  c.state.Snapshot(),
		index:    c.config.index(),
		complete: c.state.Complete(),
		ready:    c.canRoute(),
		targetUp: c.targetUp,
		leaving:  c.leaving,
		retiring: c.retiring,
	}
	if next == c.published {
		return
	}
	if next.members != c.published.members {
		c.recordIncarnations(next.members)
		c.node.updateMemberGauges(next.members)
		c.node.updateClaimBatchers(next.members)
		c.limiter.setMembers(next.members)
	}
	if next.members != c.published.members || next.complete != c.published.complete {
		c.config.setPeers(next.members, c.self.Place.Region, next.complete)
	}
	if next.complete && !c.published.complete {
		_ = c.node.pool.Submit(c.node.fetchSuspects)
	}
	if next.index != c.published.index {
		c.node.limitClients(next.index.ClientLimits(c.self.Tenant))
		c.node.metrics.Configure(metricLabels(next.index))
	}
	before := c.published
	c.published = next
	c.viewGen++
	c.engine.Publish(c.view(next))
	c.logReady(before)
}

func (c *control) view(s viewInputs) *dataplane.View {
	seen := c.incarnations
	return &dataplane.View{
		Gen:      c.viewGen,
		Index:    s.index,
		Ready:    s.ready,
		TargetUp: s.targetUp,
		Leaving:  s.leaving,
		Nodes:    countActive(s.members),
		Peers: func(svc request.Service) []dataplane.Peer {
			info, ok := s.index.Service(svc)
			if !ok {
				return nil
			}
			return routePeers(s.members.Members(svc), info, seen)
		},
		Callers: func(svc request.Service) int { return countCallers(s, svc) },
	}
}

// recordIncarnations records when new incarnations appear, so that their share of calls
// ramps up: a target that has just started is cold. The map is replaced rather than
// modified because the data plane reads it concurrently.
func (c *control) recordIncarnations(v *member.View) {
	updated := make(map[request.TargetID]firstSeen, len(c.incarnations))
	joining := c.incarnations == nil || !c.state.Complete()
	v.All(func(m member.Member) bool {
		s, ok := c.incarnations[m.ID]
		if !ok || s.incarnation != m.Record.Incarnation {
			s = firstSeen{incarnation: m.Record.Incarnation}
			if !joining {
				s.since = c.now()
			}
		}
		updated[m.ID] = s
		return true
	})
	c.incarnations = updated
}

// routePeers converts a service's members to routing targets. Slots and connections
// default to the configuration's where a target's own settings have none.
func routePeers(ms []member.Member, info *configset.ServiceInfo, seen map[request.TargetID]firstSeen) []dataplane.Peer {
	out := make([]dataplane.Peer, 0, len(ms))
	for _, m := range ms {
		if m.Status == member.Dead {
			continue
		}
		out = append(out, dataplane.Peer{Addr: m.DataAddr, Target: route.Target{
			ID:          m.ID,
			Incarnation: uint64(m.Record.Incarnation),
			Region:      m.Region,
			Zone:        m.Zone,
			Slots:       cmp.Or(int(m.Slots), info.Slots),
			Conns:       cmp.Or(int(m.Connections), info.Connections),
			Since:       seen[m.ID].since,
			Suspected:   m.Status == member.Suspect || m.Status == member.Unreachable,
			Leaving:     m.Status == member.Leaving,
		}})
	}
	return out
}

// countActive returns the number of nodes that are alive or suspect.
func countActive(v *member.View) int {
	n := 0
	v.All(func(m member.Member) bool {
		if m.Status == member.Alive || m.Status == member.Suspect {
			n++
		}
		return true
	})
	return n
}

// countCallers returns the number of nodes whose services call svc.
func countCallers(s viewInputs, svc request.Service) int {
	n := 0
	for _, name := range s.index.Services() {
		info, _ := s.index.Service(name)
		if slices.Contains(info.Calls, svc) {
			n += len(s.members.Members(name))
		}
	}
	return n
}

// exchange answers another node's membership message. It is called on the control
// server's goroutines.
func (c *control) exchange(m *member.Message) *member.Message {
	var reply *member.Message
	c.ask(func() { reply = c.state.HandleRequest(c.now(), m) })
	return reply
}

// setTargetUp records whether the target accepts calls.
func (c *control) setTargetUp(up bool) {
	if c.targetUp == up {
		return
	}
	c.targetUp = up
	c.publish()
}

// handleTargetDeath stops calls to the own target until its health check succeeds.
func (c *control) handleTargetDeath() {
	if c.node.integration == nil {
		c.setTargetUp(false)
	}
}

// announceDeparture tells peers that the node is gone.
func (c *control) announceDeparture() {
	c.state.Depart(c.now())
	c.executor.Execute(c.state.Tick(c.now()))
}

// retire reports the node as not ready, so that load balancers stop sending callers.
func (c *control) retire() {
	c.retiring = true
	c.limiter.releaseLeases()
	c.publish()
}

// leave announces that the target accepts no new work in this incarnation.
func (c *control) leave() {
	if c.leaving {
		return
	}
	c.leaving = true
	c.state.Leave(c.now())
	c.executor.Execute(c.state.Tick(c.now()))
	c.publish()
}
