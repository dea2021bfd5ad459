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

	mu    sync.Mutex
	avoid map[uint64]time.Time // until when a node is passed over
}

// SetMembers replaces the nodes that may batch; it keeps ms.
func (s *Sender) SetMembers(ms []Member) {
	next := &members{all: ms, ids: make([]uint64, len(ms))}
	for i, m := range ms {
		next.ids[i] = m.ID
	}
	s.members.Store(next)
}

// Submit returns how an op ended, within wait.
func (s *Sender) Submit(ctx context.Context, op Op, wait time.Duration) batch.Result {
	end := time.Now().Add(wait)
	to, ok := s.pick(op.Row)
	if !ok {
		op.Wait = wait
		return s.own.Submit(ctx, &op).Result
	}
	result, known := s.send(ctx, to, op, wait-s.cfg.DirectWait)
	if known && result != batch.Unavailable {
		return result
	}
	s.pass(to.ID)
	return s.direct(ctx, op, time.Until(end), known)
}

// send sends an op to another node; known is false if its answer is lost.
func (s *Sender) send(ctx context.Context, to Member, op Op, wait time.Duration) (result batch.Result, known bool) {
	op.Wait = wait - s.cfg.AnswerWait
	if op.Wait <= 0 {
		return batch.Unavailable, true // not sent
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	ans, err := s.peers.Submit(ctx, to.Addr, &op)
	switch {
	case err != nil:
		s.stats.sent("lost")
		return batch.Ambiguous, false
	case ans.Code != "":
		s.stats.sent(string(ans.Code))
		return batch.Unavailable, true
	case ans.Result > batch.Full:
		s.stats.sent("malformed")
		return batch.Ambiguous, false // of a newer node: it may mean anything
	}
	s.stats.sent("answered")
	return ans.Result, true
}

// direct writes an op without the row's node. If that one may have it under way
// too, a failure here says nothing of the other.
//
// Symptom of taking it for one: a claim is given up as "nothing written", its
// key stays held by nobody.
func (s *Sender) direct(ctx context.Context, op Op, wait time.Duration, clear bool) batch.Result {
	op.Wait, op.Lazy = wait, false
	ans := s.own.Submit(ctx, &op)
	if !clear && (ans.Result == batch.Unavailable || ans.Result == batch.Full) {
		return batch.Ambiguous
	}
	return ans.Result
}

// pick returns the node that batches a row; ok is false if that is the own one.
func (s *Sender) pick(row string) (m Member, ok bool) {
	ms := s.members.Load()
	if ms == nil {
		return Member{}, false
	}
	avoided := s.avoided()
	i := batch.Pick(row, ms.ids, func(i int) bool { return avoided[ms.ids[i]] })
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
