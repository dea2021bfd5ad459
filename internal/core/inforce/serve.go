package inforce

import (
	"bytes"
	"compress/flate"
	"io"
	"time"

	"peardrift/internal/core/confset"
	"peardrift/internal/status"
)

var errOtherDigest = status.New(status.CodeProtocol, "two sets of one version")

// waiter is a peer that asked for a version that is not held yet.
type waiter struct {
	id    uint64
	want  int64
	have  int64
	until time.Duration
}

// bucket bounds bytes a second.
type bucket struct {
	tokens int
	at     time.Duration
}

func (b *bucket) take(now time.Duration, n, rate, burst int) bool {
	if now > b.at {
		gained := int((now - b.at).Seconds() * float64(rate))
		if gained > 0 {
			b.tokens, b.at = min(b.tokens+gained, burst), now
		}
	}
	if n > b.tokens {
		return false
	}
	b.tokens -= n
	return true
}

// HandleAsk takes a peer's question; the id is the caller's, for Answer. It is
// answered now, or when the version that the peer wants is in force here, or
// without a set after ServeWait.
func (s *State) HandleAsk(now time.Duration, id uint64, a Ask) []Action {
	s.ask(now, id, a)
	return s.take()
}

func (s *State) ask(now time.Duration, id uint64, a Ask) {
	if a.Heads {
		s.do(Answer{ID: id, Reply: Reply{Informed: s.start.informed, Heads: s.Known()}})
		return
	}
	s.learn(now, a.Want)
	x := s.tenants[a.Want.Tenant]
	switch {
	case x == nil || a.Want.Version <= 0:
		s.do(Answer{ID: id})
	case x.version() >= a.Want.Version:
		s.answer(now, x, a.Have, id)
	case len(x.waiters) >= s.cfg.MaxWaiters:
		s.do(Answer{ID: id})
	default:
		x.waiters = append(x.waiters, waiter{id: id, want: a.Want.Version, have: a.Have, until: now + s.cfg.ServeWait})
	}
}

// answerWaiters answers those whose version is in force now, and those who have
// waited for too long with what there is.
func (s *State) answerWaiters(now time.Duration, x *tenant) {
	kept := x.waiters[:0]
	for _, w := range x.waiters {
		switch {
		case x.version() >= w.want || now >= w.until && x.version() > w.have:
			s.answer(now, x, w.have, w.id)
		case now >= w.until:
			s.do(Answer{ID: w.id})
		default:
			kept = append(kept, w)
		}
	}
	x.waiters = kept
}

func (s *State) answer(now time.Duration, x *tenant, have int64, id uint64) {
	s.do(Answer{ID: id, Reply: s.reply(now, x, have)})
}

// reply returns what changed since the version that the peer holds, or the whole
// set if that is not known here, within the budget for whole sets.
func (s *State) reply(now time.Duration, x *tenant, have int64) Reply {
	r := Reply{Head: x.held.Head(), Delta: x.deltaSince(have)}
	if r.Delta == nil {
		if body := x.compressed(); s.serve.take(now, len(body), s.cfg.ServeRate, s.cfg.ServeBurst) {
			r.Whole = body
		}
	}
	if len(r.Delta)+len(r.Whole) > 0 {
		s.stats.Answered++
	}
	return r
}

// largeDelta is the size in bytes from which a delta is compared with the whole
// set, which is sent compressed.
const largeDelta = 4 << 10

// deltaSince returns an encoded delta, nil if the whole set is to be sent.
func (x *tenant) deltaSince(have int64) []byte {
	d, ok := x.held.Since(have)
	if !ok || have == 0 {
		return nil
	}
	body, err := d.Encode()
	if err != nil || len(body) > largeDelta && len(body) > len(x.compressed()) {
		return nil
	}
	return body
}

// compressed returns the held set's bytes, compressed once for each version.
func (x *tenant) compressed() []byte {
	if x.whole != nil {
		return x.whole
	}
	body, err := x.held.Bytes()
	if err != nil {
		return nil
	}
	var buf bytes.Buffer
	w, err := flate.NewWriter(&buf, flate.BestSpeed)
	if err != nil {
		return nil
	}
	// Writing to a buffer does not fail.
	_, _ = w.Write(body)
	_ = w.Close()
	x.whole = buf.Bytes()
	return x.whole
}

// expand is the inverse of compressed, bounded: a few bytes may expand to
// gigabytes.
func expand(body []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(body))
	out, err := io.ReadAll(io.LimitReader(r, confset.MaxEncoded+1))
	if err != nil {
		return nil, status.Wrap(status.CodeProtocol, err, "a set that can't be expanded")
	}
	if len(out) > confset.MaxEncoded {
		return nil, status.New(status.CodeTooLarge, "a set of over %d bytes", confset.MaxEncoded)
	}
	return out, nil
}
