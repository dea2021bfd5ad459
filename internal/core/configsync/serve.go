package configsync

import (
	"bytes"
	"compress/flate"
	"io"
	"time"

	"peardrift/internal/core/configset"
	"peardrift/internal/status"
)

var errDigestConflict = status.New(status.CodeProtocol, "two sets with the same version")

// waiter is a pending request for a version that is not held yet.
type waiter struct {
	id    uint64
	want  int64
	have  int64
	until time.Duration
}

// tokenBucket limits bytes per second.
type tokenBucket struct {
	tokens     int
	refilledAt time.Duration
}

func (b *tokenBucket) take(now time.Duration, n, rate, burst int) bool {
	if now > b.refilledAt {
		gained := int((now - b.refilledAt).Seconds() * float64(rate))
		if gained > 0 {
			b.tokens, b.refilledAt = min(b.tokens+gained, burst), now
		}
	}
	if n > b.tokens {
		return false
	}
	b.tokens -= n
	return true
}

// HandleAsk handles a peer's request; the caller chooses the ID, which Answer
// carries. The answer follows at once, or when the wanted version is in force
// here, or without a set after ServeWait.
func (s *State) HandleAsk(now time.Duration, id uint64, a Ask) []Action {
	s.handleAsk(now, id, a)
	return s.takeActions()
}

func (s *State) handleAsk(now time.Duration, id uint64, a Ask) {
	if a.Heads {
		s.emit(Answer{ID: id, Reply: Reply{Informed: s.startup.informed, PlatformAge: s.platformAge(now), Heads: s.Known()}})
		return
	}
	s.learn(now, a.Want)
	x := s.tenants[a.Want.Tenant]
	switch {
	case x == nil || a.Want.Version <= 0:
		s.emit(Answer{ID: id})
	case x.heldVersion() >= a.Want.Version:
		s.sendReply(now, x, a.Have, id)
	case len(x.waiters) >= s.cfg.MaxWaiters:
		s.emit(Answer{ID: id})
	default:
		x.waiters = append(x.waiters, waiter{id: id, want: a.Want.Version, have: a.Have, until: now + s.cfg.ServeWait})
	}
}

// answerWaiters answers the requests whose version is now in force, and those
// that have timed out with the newest version available.
func (s *State) answerWaiters(now time.Duration, x *tenant) {
	kept := x.waiters[:0]
	for _, w := range x.waiters {
		switch {
		case x.heldVersion() >= w.want || now >= w.until && x.heldVersion() > w.have:
			s.sendReply(now, x, w.have, w.id)
		case now >= w.until:
			s.emit(Answer{ID: w.id})
		default:
			kept = append(kept, w)
		}
	}
	x.waiters = kept
}

func (s *State) sendReply(now time.Duration, x *tenant, have int64, id uint64) {
	s.emit(Answer{ID: id, Reply: s.buildReply(now, x, have)})
}

// buildReply returns the changes since the version that the peer holds, or the
// whole set if the changes are unknown and the limit on whole sets allows it.
func (s *State) buildReply(now time.Duration, x *tenant, have int64) Reply {
	r := Reply{Head: x.held.Head(), Delta: x.deltaSince(have)}
	if r.Delta == nil {
		if body := x.compressed(); s.wholeSetBucket.take(now, len(body), s.cfg.WholeSetRate, s.cfg.WholeSetBurst) {
			r.Whole = body
		}
	}
	if len(r.Delta)+len(r.Whole) > 0 {
		s.stats.Answered++
	}
	return r
}

// largeDeltaSize is the size in bytes above which a delta is compared with the
// whole set, which is sent compressed.
const largeDeltaSize = 4 << 10

// deltaSince returns an encoded delta, nil if the whole set should be sent
// instead.
func (x *tenant) deltaSince(have int64) []byte {
	d, ok := x.held.DeltaSince(have)
	if !ok || have == 0 {
		return nil
	}
	body, err := d.Encode()
	if err != nil || len(body) > largeDeltaSize && len(body) > len(x.compressed()) {
		return nil
	}
	return body
}

// compressed returns the compressed bytes of the held set, computed once per
// version.
func (x *tenant) compressed() []byte {
	if x.compressedBody != nil {
		return x.compressedBody
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
	// Writes to a bytes.Buffer never fail.
	_, _ = w.Write(body)
	_ = w.Close()
	x.compressedBody = buf.Bytes()
	return x.compressedBody
}

// decompress is the inverse of compressed. Its output is limited: a few bytes
// may decompress to gigabytes.
func decompress(body []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(body))
	out, err := io.ReadAll(io.LimitReader(r, configset.MaxEncoded+1))
	if err != nil {
		return nil, status.Wrap(status.CodeProtocol, err, "cannot decompress set")
	}
	if len(out) > configset.MaxEncoded {
		return nil, status.New(status.CodeTooLarge, "set exceeds %d bytes", configset.MaxEncoded)
	}
	return out, nil
}
