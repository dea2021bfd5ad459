package node

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"peardrift/internal/adapter/zaplog"
	"peardrift/internal/core/lifetime"
	"peardrift/internal/core/member"
)

const (
	// recallTimeout is how long a starting node waits for the row before what other nodes
	// know suffices, and for other nodes after it has read the row. Raising it delays the
	// first calls to the target while either can't be reached.
	recallTimeout = time.Second
	// maxNodesAsked bounds the nodes that are asked at a time.
	maxNodesAsked = 8
	// minAnswers is the number of nodes that must answer which have run for longer than
	// settledAfter, if there are as many. A node that was itself just restarted may not
	// know yet what it held before.
	minAnswers = 2
	// settledAfter is the time after its start within which a node learns what others know.
	settledAfter = 10 * time.Second
	// maxReportDelay is how long after a start a report may arrive that was sent before it.
	// Raising it prolongs the time in which a target must report twice after most nodes
	// were restarted at once.
	maxReportDelay = 30 * time.Second
	// askNodeTimeout bounds the call to one node.
	askNodeTimeout = 300 * time.Millisecond
	// askNodesInterval is the time between two attempts to ask.
	askNodesInterval = 500 * time.Millisecond
)

// recall is the progress of a starting node in learning the leaves that its earlier
// processes acknowledged. It belongs to the control goroutine, except retry.
type recall struct {
	rowTried    bool          // the first attempt to read the row has ended
	rowRead     bool          // the row has been read
	rowReadAt   time.Duration // time of that
	retry       chan struct{} // signals that the table may answer; buffer of one
	seeds       []string      // control addresses of the nodes to join through
	seedsRead   bool          // they are known, if there are any
	asking      bool          // other nodes are being asked
	asked       bool          // other nodes have answered, or there are none
	alone       bool          // there are none
	known       answers       // what they know
	complete    bool          // all leaves are known that were acknowledged before the start
	nextAsk     time.Duration // time before which they are not asked again
	incarnation uint32        // of this process at its start
	factSeen    uint64        // version of the fact on this node's leaves that was applied
}

// recallLeaves reads the leaves that earlier processes of this node acknowledged, and
// tries again until that succeeds.
func (n *Node) recallLeaves(ctx context.Context) {
	for {
		leaves, err := n.control.leaves.recall()
		n.control.ask(func() { n.control.handleRecalled(leaves, err) })
		if err == nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-n.control.recall.retry:
		case <-time.After(joinDelay(0)):
		}
	}
}

func (c *control) handleRecalled(leaves []lifetime.Leave, err error) {
	c.recall.rowTried = true
	if err != nil {
		c.log.Warn("leaves not recalled", zaplog.Error(err))
	} else {
		c.log.Info("leaves recalled", zap.Int("count", len(leaves)))
		c.recall.rowRead, c.recall.rowReadAt = true, c.now()
		c.restoreLeaves(leaves, "row")
	}
	c.resumeTarget()
}

func (c *control) restoreLeaves(leaves []lifetime.Leave, by string) {
	before := c.targetLifetime.State()
	c.applyLifetime(before, c.targetLifetime.Restore(leaves), by)
}

// handleSeedsRead records the nodes to join through.
func (c *control) handleSeedsRead(seeds []member.Peer) {
	c.recall.seedsRead = true
	for _, p := range seeds {
		if !slices.Contains(c.recall.seeds, p.ControlAddr) {
			c.recall.seeds = append(c.recall.seeds, p.ControlAddr)
		}
	}
	c.resumeTarget()
}

// askNodes asks other nodes for the leaves at this node. The reply that admits a node
// carries them too, but it may come from one that was restarted at the same time.
func (c *control) askNodes() {
	r := &c.recall
	if r.asking || r.asked || !r.seedsRead || !c.state.Joined() || c.now() < r.nextAsk {
		return
	}
	addrs, recent := c.nodesToAsk()
	if len(addrs) == 0 {
		r.asked, r.alone = true, true
		return
	}
	r.asking, r.nextAsk = true, c.now()+askNodesInterval
	err := c.node.pool.Submit(func() {
		known := c.node.askForLeaves(addrs, recent)
		c.post(func() {
			r.asking, r.asked, r.known = false, known.count > 0, known
			c.resumeTarget()
		})
	})
	if err != nil {
		r.asking = false
	}
}

// nodesToAsk returns the control addresses of some nodes that may know leaves at this one:
// first members that have run for longer, then nodes to join through, then other members.
// recent are those of some members that were started about when this node was; all of them
// are asked.
func (c *control) nodesToAsk() (addrs, recent []string) {
	var settled, others []string
	c.state.Snapshot().All(func(m member.Member) bool {
		switch {
		case m.ID == c.self.ID || m.Status == member.Dead:
		case m.Status != member.Alive && m.Status != member.Leaving:
			others = append(others, m.ControlAddr)
		case m.Record.Incarnation+uint32(settledAfter/time.Second) <= c.recall.incarnation:
			settled = append(settled, m.ControlAddr)
		default:
			others = append(others, m.ControlAddr)
		}
		return true
	})
	for _, group := range [][]string{settled, c.recall.seeds, others} {
		for _, i := range rand.Perm(len(group)) {
			if len(addrs) < maxNodesAsked && !slices.Contains(addrs, group[i]) {
				addrs = append(addrs, group[i])
			}
		}
	}
	recent = others[:min(len(others), maxNodesAsked)]
	for _, addr := range recent {
		if !slices.Contains(addrs, addr) {
			addrs = append(addrs, addr)
		}
	}
	return addrs, recent
}

// answers is what other nodes have answered of the leaves at this one.
type answers struct {
	count   int // of answers
	knowing int // of these from nodes that know all leaves
	lost    int // of nodes that don't, or that were started recently and don't answer
}

// askForLeaves asks nodes for the leaves at this node and adds what they know to the
// membership. It returns as soon as enough have answered, among them the recent ones.
func (n *Node) askForLeaves(addrs, recent []string) (known answers) {
	type answer struct {
		*RecallReply // nil if there was none
		recent       bool
	}
	replies := make(chan answer, len(addrs))
	asked, recentLeft := 0, 0
	for _, addr := range addrs {
		isRecent := slices.Contains(recent, addr)
		err := n.pool.Submit(func() {
			ctx, cancel := context.WithTimeout(context.Background(), askNodeTimeout)
			defer cancel()
			var reply RecallReply
			if n.calls.CallOnce(ctx, addr, methodRecallLeaves, &RecallArgs{Node: uint64(n.self.ID)}, &reply) != nil {
				replies <- answer{nil, isRecent}
				return
			}
			replies <- answer{&reply, isRecent}
		})
		if err != nil {
			continue
		}
		asked++
		if isRecent {
			recentLeft++
		}
	}
	for settled := 0; asked > 0 && (settled < minAnswers || recentLeft > 0); asked-- {
		reply := <-replies
		if reply.recent {
			recentLeft--
		}
		if reply.RecallReply == nil {
			if reply.recent {
				known.lost++
			}
			continue
		}
		known.count++
		if reply.Knows {
			known.knowing++
		} else {
			known.lost++
		}
		if reply.Fact.Kind == member.TargetLeave {
			n.control.ask(func() { n.control.state.PutFact(n.control.now(), reply.Fact) })
		}
		if reply.Uptime > settledAfter {
			settled++
		}
	}
	return known
}

// joinWithoutDelay doesn't leave the join to the next tick while the target waits for it.
func (c *control) joinWithoutDelay() {
	if c.targetLifetime.Suspended() {
		c.executor.Execute(c.state.Tick(c.now()))
	}
}

// retryRecall reads the row again if that has failed, without waiting for the next attempt:
// the table may answer again.
func (c *control) retryRecall() {
	if !c.recall.rowTried || c.recall.rowRead {
		return
	}
	select {
	case c.recall.retry <- struct{}{}:
	default:
	}
}

// resumeTarget lets the target accept calls once the leaves that earlier processes
// acknowledged are known: from the row, and from the nodes that hold what could not be
// written there.
func (c *control) resumeTarget() {
	if c.node.integration == nil {
		return
	}
	if f := c.leaveFact(); f.Version != c.recall.factSeen {
		c.recall.factSeen = f.Version
		c.restoreLeaves(lifetime.Recent(lifetime.Decode(f.Value), time.Now()), "nodes")
	}
	if !c.targetLifetime.Suspended() {
		c.trustReports()
		return
	}
	c.askNodes()
	if !c.leavesKnown() {
		return
	}
	c.recall.complete = !c.holdersMayBeLost()
	if !c.recall.complete {
		c.log.Warn("leaves may be lost", zap.Int("knowing", c.recall.known.knowing), zap.Int("lost", c.recall.known.lost), zap.Bool("row", c.recall.rowRead))
	}
	before := c.targetLifetime.State()
	c.applyLifetime(before, c.targetLifetime.Resume(c.recall.complete), "recall")
}

// trustReports lets single reports count again once none from before the start can arrive.
func (c *control) trustReports() {
	if !c.recall.complete && c.now() >= maxReportDelay {
		c.recall.complete = true
		c.targetLifetime.Trust()
	}
}

// holdersMayBeLost reports whether a leave may be unknown although enough other nodes held
// it: as many of these may have ended together with this node's earlier process.
func (c *control) holdersMayBeLost() bool {
	r := &c.recall
	if r.alone {
		return !r.rowRead // without other nodes a leave is acknowledged by the row only
	}
	return r.known.knowing == 0 || r.known.lost >= minLeaveHolders
}

// knowsLeaves reports whether the node knows all leaves that other nodes held when it started.
func (c *control) knowsLeaves() bool {
	return !c.node.recallsLeaves() || c.recall.complete
}

// leavesKnown reports whether a starting node knows the leaves as far as they can be
// learned. Without the row and without another node it knows nothing.
func (c *control) leavesKnown() bool {
	r := &c.recall
	if !r.rowRead {
		return r.asked && (r.rowTried || c.now() >= recallTimeout)
	}
	return r.asked || c.now() >= r.rowReadAt+recallTimeout
}
