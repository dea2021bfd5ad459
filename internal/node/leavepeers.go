package node

import (
	"bytes"
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"peardrift/internal/core/lifetime"
	"peardrift/internal/core/member"
	"peardrift/internal/status"
)

const (
	leavesName         = "Leaves"
	methodHold         = leavesName + ".Hold"
	methodRecallLeaves = leavesName + ".Known"
)

const (
	// minLeaveHolders is the number of other nodes that must confirm a leave if there are as
	// many. Raising it makes a leave outlast more simultaneous restarts.
	minLeaveHolders = 2
	// maxLeaveHolders is the number of nodes that are told, so that one that doesn't answer
	// delays no acknowledgement.
	maxLeaveHolders = 3
	// holdTimeout bounds the call to one of them.
	holdTimeout = 500 * time.Millisecond
)

// leaveService receives the leaves that other nodes have acknowledged.
type leaveService struct{ control *control }

// Hold spreads a fact on a node's leaves. The node gets it back when it joins again. It
// fails if another fact on them is known that takes precedence.
func (s *leaveService) Hold(in *member.Fact, _ *struct{}) error {
	if in.Kind != member.TargetLeave {
		return status.New(status.CodeProtocol, "fact of kind %d is not a leave", in.Kind)
	}
	var known member.Fact
	if !s.control.ask(func() {
		s.control.state.PutFact(s.control.now(), *in)
		known, _ = s.control.state.Fact(in.Kind, in.Key)
	}) {
		return errStopping
	}
	if known.Version != in.Version || !bytes.Equal(known.Value, in.Value) {
		return status.New(status.CodeConflict, "another fact has version %d", known.Version)
	}
	return nil
}

// RecallArgs asks for the leaves at a node.
type RecallArgs struct{ Node uint64 }

// RecallReply is the reply to RecallArgs.
type RecallReply struct {
	Fact   member.Fact   // zero if none is known
	Uptime time.Duration // of the process that replies
	Knows  bool          // all leaves that other nodes held when it started, see knowsLeaves
}

// Known returns the fact on a node's leaves.
func (s *leaveService) Known(in *RecallArgs, out *RecallReply) error {
	c := s.control
	if !c.ask(func() {
		out.Fact, _ = c.state.Fact(member.TargetLeave, in.Node)
		out.Uptime, out.Knows = c.now(), c.knowsLeaves()
	}) {
		return errStopping
	}
	return nil
}

// recordLeave begins to record that an instance has left, unless that was done before.
// startedAt is the start that the leave names, or 0.
func (c *control) recordLeave(instance string, startedAt int64) (*recording, error) {
	l := lifetime.Leave{Instance: lifetime.KeyOf(instance), StartedAt: startedAt, At: time.Now().UnixMilli()}
	meant := cmp.Or(startedAt, c.targetLifetime.StartedAt(instance))
	if rec := c.leaves.find(l); rec != nil && rec.leave.AppliesTo(meant) {
		return rec, nil
	}
	c.targetLifetime.Restore([]lifetime.Leave{l})
	c.spreadLeave(l)
	rec := c.leaves.start(instance, l)
	if rec == nil {
		return nil, status.New(status.CodeOverloaded, "too many background tasks to record the leave of %q", instance)
	}
	return rec, nil
}

// spreadLeave adds a leave to the fact on this node's leaves.
func (c *control) spreadLeave(l lifetime.Leave) {
	old := c.leaveFact()
	c.state.PutFact(c.now(), member.Fact{
		Kind: member.TargetLeave, Key: uint64(c.self.ID), Version: max(uint64(l.At), old.Version+1),
		Value: lifetime.AppendEncoded(old.Value, l),
	})
	c.executor.Execute(c.state.Tick(c.now()))
}

// leaveFact returns the fact on this node's leaves; zero if there is none.
func (c *control) leaveFact() member.Fact {
	f, _ := c.state.Fact(member.TargetLeave, uint64(c.self.ID))
	return f
}

// notifyOfLeaves sends the fact on this node's leaves to some other nodes and reports
// whether enough of them hold it.
func (n *Node) notifyOfLeaves() bool {
	var fact member.Fact
	var holders []member.Member
	if !n.control.ask(func() { fact, holders = n.control.leaveFact(), n.control.chooseLeaveHolders() }) {
		return false
	}
	var confirmed atomic.Int32
	enough := make(chan bool, len(holders))
	asked := 0
	for _, m := range holders {
		err := n.pool.Submit(func() {
			ctx, cancel := context.WithTimeout(context.Background(), holdTimeout)
			defer cancel()
			err := n.calls.CallOnce(ctx, m.ControlAddr, methodHold, &fact, &struct{}{})
			enough <- err == nil && int(confirmed.Add(1)) >= min(minLeaveHolders, len(holders))
		})
		if err == nil {
			asked++
		}
	}
	for range asked {
		if <-enough {
			return true
		}
	}
	return false
}

// chooseLeaveHolders returns the nodes that are told of a leave: first those of other zones
// of the region, which a loss of power here doesn't reach.
func (c *control) chooseLeaveHolders() []member.Member {
	var others []member.Member
	c.state.Snapshot().All(func(m member.Member) bool {
		if m.Status == member.Alive && m.ID != c.self.ID {
			others = append(others, m)
		}
		return true
	})
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	place := c.self.Place
	distance := func(m member.Member) int {
		switch {
		case m.Region != place.Region:
			return 2
		case m.Zone == place.Zone:
			return 1
		}
		return 0
	}
	slices.SortStableFunc(others, func(a, b member.Member) int { return distance(a) - distance(b) })
	return others[:min(len(others), maxLeaveHolders)]
}
