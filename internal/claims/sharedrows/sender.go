package sharedrows

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"peardrift/internal/core/claim/batch"
)

// Member is a node that may batch.
type Member struct {
	ID   uint64
	Addr string // of its control listener
}

// members are the nodes that may batch, and their ids in the same order.
type members struct {
	all []Member
	ids []uint64
}

// Sender sends ops to the nodes that batch their rows.
type Sender struct {
	cfg     Config
	self    uint64
	batcher *Batcher
	peers   Peers
	stats   stats

	members atomic.Pointer[members]

	mu          sync.Mutex
	avoidUntil  map[uint64]time.Time // end of the time in which a node is skipped
	misses      map[uint64]int       // consecutive ops without an answer
	retryTokens float64              // tokens for second tries
}

// SetMembers replaces the nodes that may batch. It retains ms.
func (s *Sender) SetMembers(ms []Member) {
	next := &members{all: ms, ids: make([]uint64, len(ms))}
	for i, m := range ms {
		next.ids[i] = m.ID
	}
	s.members.Store(next)
}

// Submit sends an op to its row's node and returns its result within wait. If that
// node does not answer, the op also goes to the row's next node.
func (s *Sender) Submit(ctx context.Context, op Op, wait time.Duration) Answer {
	start := time.Now()
	to, ok := s.pick(op.Row, s.self)
	if !ok {
		return s.submitLocal(ctx, op, wait)
	}
	ans, known := s.send(ctx, to, op, wait-s.cfg.FallbackTimeout)
	if known && ans.Result != batch.Unavailable {
		s.answered(to.ID)
		return ans
	}
	late := time.Since(start) > (wait-s.cfg.FallbackTimeout)/2
	switch {
	case !known && late:
		s.missed(to.ID)
	case !known || ans.Code != "":
		s.skip(to.ID)
	case late:
		// The node waited for the platform, which is slow for all nodes. Moving the
		// row to another node now would make both fail each other's writes and double
		// the number of writes at the platform.
		return ans
	}
	if !s.takeToken() {
		return ans
	}
	second := s.submitSecond(ctx, to, op, time.Until(start.Add(wait)))
	if known && (second.Result == batch.OK || second.Result == batch.ConditionFailed) {
		s.skip(to.ID) // the next node reaches the platform
	}
	if !known && (second.Result == batch.Unavailable || second.Result == batch.Full) {
		// The first node may still have the op in flight, whatever the second one
		// answers. Reporting "nothing written" could leave the key held without an
		// owner.
		second.Result = batch.Ambiguous
	}
	return second
}

// submitSecond sends an op to the next node of its row.
func (s *Sender) submitSecond(ctx context.Context, first Member, op Op, wait time.Duration) Answer {
	to, ok := s.pick(op.Row, first.ID)
	if !ok {
		return s.submitLocal(ctx, op, wait)
	}
	ans, known := s.send(ctx, to, op, wait)
	switch {
	case !known:
		s.missed(to.ID)
	case ans.Result != batch.Unavailable:
		s.answered(to.ID)
	}
	return ans
}

func (s *Sender) submitLocal(ctx context.Context, op Op, wait time.Duration) Answer {
	op.Timeout = wait
	return s.batcher.Submit(ctx, &op)
}

// send sends an op to another node; known is false if its answer is lost.
func (s *Sender) send(ctx context.Context, to Member, op Op, wait time.Duration) (ans Answer, known bool) {
	op.Timeout = wait - s.cfg.RoundTripBudget
	if op.Timeout <= 0 {
		return Answer{Result: batch.Unavailable}, true // not sent
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	ans, err := s.peers.Submit(ctx, to.Addr, &op)
	switch {
	case err != nil:
		s.stats.sent("lost")
		return Answer{Result: batch.Ambiguous}, false
	case ans.Code != "":
		s.stats.sent(string(ans.Code))
		return Answer{Result: batch.Unavailable, Code: ans.Code}, true
	case ans.Result > batch.Full:
		s.stats.sent("malformed")
		return Answer{Result: batch.Ambiguous}, false // from a newer version, meaning unknown
	}
	s.stats.sent("answered")
	return ans, true
}

// A token bucket limits second tries; answered ops refill it. Without it a
// platform outage of one second lasts much longer: other nodes retry each failed
// op and fail each other's conditions, and the additional writes keep the platform
// from answering the next ones.
const (
	tokensPerAnswer = 0.5 // tokens added per answered op; a second try costs 1
	maxTokens       = 3.0 // capacity of the bucket
)

func (s *Sender) answered(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retryTokens = min(s.retryTokens+tokensPerAnswer, maxTokens)
	delete(s.misses, id)
}

// maxMisses is the number of consecutive ops without a timely answer after which a
// node is skipped. With 1, a fleet that is briefly short of CPU time would spread
// each row over several nodes, which fail each other's writes.
const maxMisses = 3

// missed records that a node did not answer in time.
func (s *Sender) missed(id uint64) {
	s.mu.Lock()
	if len(s.misses) < maxAvoided {
		s.misses[id]++
	}
	over := s.misses[id] >= maxMisses
	if over {
		delete(s.misses, id)
	}
	s.mu.Unlock()
	if over {
		s.skip(id)
	}
}

func (s *Sender) takeToken() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.retryTokens < 1 {
		return false
	}
	s.retryTokens--
	return true
}

// pick returns the node that batches a row, excluding the node that has already
// failed; ok is false if the local Batcher is to be used.
func (s *Sender) pick(row string, failed uint64) (m Member, ok bool) {
	ms := s.members.Load()
	if ms == nil {
		return Member{}, false
	}
	avoided := s.avoided()
	i := batch.PickNode(row, ms.ids, func(i int) bool {
		return avoided[ms.ids[i]] || ms.ids[i] == failed && failed != s.self
	})
	if i < 0 || ms.ids[i] == s.self {
		return Member{}, false
	}
	return ms.all[i], true
}

// maxAvoided bounds the number of skipped nodes. More fail only if no node is
// reachable, and then the choice of node does not matter.
const maxAvoided = 256

// skip excludes a failed node for AvoidDuration.
func (s *Sender) skip(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.avoidUntil) < maxAvoided {
		s.avoidUntil[id] = time.Now().Add(s.cfg.AvoidDuration)
	}
}

// avoided returns the nodes that are currently skipped, nil if there are none.
func (s *Sender) avoided() map[uint64]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	var ids map[uint64]bool
	now := time.Now()
	for id, until := range s.avoidUntil {
		if now.After(until) {
			delete(s.avoidUntil, id)
			continue
		}
		if ids == nil {
			ids = make(map[uint64]bool)
		}
		ids[id] = true
	}
	return ids
}

// Serve executes an op from another node.
func (s *Sender) Serve(ctx context.Context, op *Op) Answer { return s.batcher.Submit(ctx, op) }

// Close closes the local Batcher, see Batcher.Close.
func (s *Sender) Close(ctx context.Context) error { return s.batcher.Close(ctx) }
