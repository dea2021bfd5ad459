package shared

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

// members are those that may batch, in two forms.
type members struct {
	all []Member
	ids []uint64
}

// Sender sends ops to the nodes that batch their rows.
type Sender struct {
	cfg   Config
	self  uint64
	own   *Batcher
	peers Peers
	stats stats

	members atomic.Pointer[members]

	mu     sync.Mutex
	avoid  map[uint64]time.Time // until when a node is passed over
	misses map[uint64]int       // ops without an answer, in a row
	purse  float64              // second tries that are paid for
}

// SetMembers replaces the nodes that may batch; it keeps ms.
func (s *Sender) SetMembers(ms []Member) {
	next := &members{all: ms, ids: make([]uint64, len(ms))}
	for i, m := range ms {
		next.ids[i] = m.ID
	}
	s.members.Store(next)
}

// Submit returns how an op ended, within wait. An op that its row's node does not
// answer goes to the row's next node, which batches it as well.
func (s *Sender) Submit(ctx context.Context, op Op, wait time.Duration) Answer {
	start := time.Now()
	to, ok := s.pick(op.Row, s.self)
	if !ok {
		return s.direct(ctx, op, wait)
	}
	ans, known := s.send(ctx, to, op, wait-s.cfg.SecondWait)
	if known && ans.Result != batch.Unavailable {
		s.answered(to.ID)
		return ans
	}
	late := time.Since(start) > (wait-s.cfg.SecondWait)/2
	switch {
	case !known && late:
		s.silent(to.ID)
	case !known || ans.Code != "":
		s.pass(to.ID)
	case late:
		// It waited for the platform, which is slow for all. Were the row given to
		// another node now, both would fail each other's writes, and the platform
		// would have twice as many to do.
		return ans
	}
	if !s.spend() {
		return ans
	}
	again := s.second(ctx, to, op, time.Until(start.Add(wait)))
	if known && (again.Result == batch.OK || again.Result == batch.ConditionFailed) {
		s.pass(to.ID) // another reaches the platform
	}
	if !known && (again.Result == batch.Unavailable || again.Result == batch.Full) {
		// The first one may have it under way, and a failure here says nothing of
		// that. Taken for "nothing written", a key would stay held by nobody.
		again.Result = batch.Ambiguous
	}
	return again
}

// second sends an op to the next node of its row.
func (s *Sender) second(ctx context.Context, first Member, op Op, wait time.Duration) Answer {
	to, ok := s.pick(op.Row, first.ID)
	if !ok {
		return s.direct(ctx, op, wait)
	}
	ans, known := s.send(ctx, to, op, wait)
	switch {
	case !known:
		s.silent(to.ID)
	case ans.Result != batch.Unavailable:
		s.answered(to.ID)
	}
	return ans
}

func (s *Sender) direct(ctx context.Context, op Op, wait time.Duration) Answer {
	op.Wait = wait
	return s.own.Submit(ctx, &op)
}

// send sends an op to another node; known is false if its answer is lost.
func (s *Sender) send(ctx context.Context, to Member, op Op, wait time.Duration) (ans Answer, known bool) {
	op.Wait = wait - s.cfg.AnswerWait
	if op.Wait <= 0 {
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
		return Answer{Result: batch.Ambiguous}, false // of a newer node: it may mean anything
	}
	s.stats.sent("answered")
	return ans, true
}

// Second tries are paid for by ops that were answered.
//
// Symptom without: a second's outage of the platform is not over for many. Each
// op that failed was tried by further nodes, these failed one another's
// conditions, and so many writes kept the platform from answering the next ones.
const (
	earned    = 0.5 // of a second try, for an op that was answered
	maxEarned = 3.0
)

func (s *Sender) answered(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.purse = min(s.purse+earned, maxEarned)
	delete(s.misses, id)
}

// maxMisses is how many ops in a row a node may leave without an answer in time
// before it is passed over. After one, a fleet that is short of processor time
// for a moment would spread each row over several nodes, which fail one
// another's writes.
const maxMisses = 3

// silent notes that a node did not answer in time.
func (s *Sender) silent(id uint64) {
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
		s.pass(id)
	}
}

func (s *Sender) spend() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.purse < 1 {
		return false
	}
	s.purse--
	return true
}

// pick returns the node that batches a row, passing over the one with an id that
// has failed already; ok is false if that is the own one.
func (s *Sender) pick(row string, failed uint64) (m Member, ok bool) {
	ms := s.members.Load()
	if ms == nil {
		return Member{}, false
	}
	avoided := s.avoided()
	i := batch.Pick(row, ms.ids, func(i int) bool {
		return avoided[ms.ids[i]] || ms.ids[i] == failed && failed != s.self
	})
	if i < 0 || ms.ids[i] == s.self {
		return Member{}, false
	}
	return ms.all[i], true
}

// maxAvoided bounds the nodes that are passed over; there are more only where
// nothing can be reached, and then it does not matter who is asked.
const maxAvoided = 256

// pass notes that a node did not do its part.
func (s *Sender) pass(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.avoid) < maxAvoided {
		s.avoid[id] = time.Now().Add(s.cfg.AvoidFor)
	}
}

// avoided returns the nodes that are passed over now, nil if there are none.
func (s *Sender) avoided() map[uint64]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	var ids map[uint64]bool
	now := time.Now()
	for id, until := range s.avoid {
		if now.After(until) {
			delete(s.avoid, id)
			continue
		}
		if ids == nil {
			ids = make(map[uint64]bool)
		}
		ids[id] = true
	}
	return ids
}

// Serve answers another node's op.
func (s *Sender) Serve(ctx context.Context, op *Op) Answer { return s.own.Submit(ctx, op) }

// Close stops the own Batcher, see Batcher.Close.
func (s *Sender) Close(ctx context.Context) error { return s.own.Close(ctx) }
