package conn

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

// Guards against a caller receiving part of another request's response: a call times
// out, is canceled or its response is read in part, its connection is reused, and
// the next call reads the remaining bytes.
func TestOnlyCompleteResponsesAllowReuse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := DefaultConfig()
		cfg.MaxConns, cfg.MaxIdle = 6, 3
		p := NewPeer(&cfg)
		now := time.Duration(0)
		inUse := map[ID]bool{}
		clean := map[ID]bool{}
		var order []ID
		for range 200 {
			now += time.Duration(rapid.Int64Range(0, int64(100*ms)).Draw(t, "pause"))
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0, 1:
				id, result := p.Take(now)
				if result == Dial {
					if rapid.Bool().Draw(t, "dial fails") {
						p.DialFailed()
						break
					}
					id = p.Opened(now)
				} else if result == Reuse && (inUse[id] || !clean[id]) {
					t.Fatalf("connection %d reused: in use %v, clean %v", id, inUse[id], clean[id])
				}
				if result != Full {
					inUse[id], clean[id] = true, false
					order = append(order, id)
				}
			case 2, 3:
				if len(order) == 0 {
					break
				}
				id := rapid.SampledFrom(order).Draw(t, "which") // may have ended already
				end := rapid.SampledFrom([]End{Aborted, Complete, CompleteAndClose}).Draw(t, "end")
				if keep := p.End(now, id, end); keep && (end != Complete || !inUse[id]) {
					t.Fatalf("connection %d kept after end %d", id, end)
				} else {
					inUse[id], clean[id] = false, clean[id] || keep
				}
			case 4:
				for _, a := range p.Tick(now, nil) {
					for _, id := range a.Conns {
						if a.Kind == Fail && !inUse[id] || a.Kind == Close && inUse[id] {
							t.Fatalf("%v of connection %d, in use %v", a.Kind, id, inUse[id])
						}
						if a.Kind != Probe {
							inUse[id], clean[id] = false, false
						}
					}
				}
			case 5:
				if len(order) > 0 {
					id := rapid.SampledFrom(order).Draw(t, "which")
					if !inUse[id] {
						clean[id] = false
					}
					p.IdleClosed(id)
				}
			}
			if p.Open() > cfg.MaxConns || p.Idle() > cfg.MaxIdle {
				t.Fatalf("%d open, %d idle", p.Open(), p.Idle())
			}
		}
	})
}

// call is a call in a network that drops connection state.
type call struct {
	id         ID
	began      time.Duration
	answeredAt time.Duration // time of the peer's response
}

// network is a peer behind a device that at one instant drops the state of all open
// connections; new connections work.
type network struct {
	t               *rapid.T
	rng             *rand.Rand
	p               *Peer
	calls           []call
	forgetsAt       time.Duration
	opened          map[ID]time.Duration
	probed          []ID
	probeAnsweredAt time.Duration
}

func (n *network) dead(now time.Duration, id ID) bool {
	return now >= n.forgetsAt && n.opened[id] < n.forgetsAt
}

func (n *network) start(now time.Duration) {
	id, result := n.p.Take(now)
	switch result {
	case Full:
		return
	case Dial:
		id = n.p.Opened(now)
		n.opened[id] = now
	}
	took := 5*ms + time.Duration(n.rng.Int64N(int64(20*ms)))
	if n.rng.IntN(20) == 0 {
		took = time.Duration(n.rng.Int64N(int64(9 * time.Second))) // slow, not dead
	}
	n.calls = append(n.calls, call{id: id, began: now, answeredAt: now + took})
}

// answers ends the calls whose response arrives.
func (n *network) answers(now time.Duration) {
	n.calls = slices.DeleteFunc(n.calls, func(c call) bool {
		if now < c.answeredAt || n.dead(c.answeredAt, c.id) {
			return false
		}
		n.p.End(now, c.id, Complete)
		return true
	})
}

// answerProbe delivers the peer's response to the probe in progress.
func (n *network) answerProbe(now time.Duration) {
	if n.probed == nil || now < n.probeAnsweredAt {
		return
	}
	for _, id := range n.probed {
		callStatus := NotExecuting
		for _, c := range n.calls {
			if c.id == id && now < c.answeredAt && !n.dead(c.began, id) {
				callStatus = Executing
			}
		}
		n.p.RecordStatus(now, id, callStatus)
	}
	n.probed = nil
	n.p.ProbeDone(now, true)
}

func (n *network) act(now time.Duration, bound time.Duration) {
	for _, a := range n.p.Tick(now, nil) {
		switch a.Kind {
		case Probe:
			n.probed, n.probeAnsweredAt = a.Conns, now+3*ms
		case Fail:
			for _, id := range a.Conns {
				i := slices.IndexFunc(n.calls, func(c call) bool { return c.id == id })
				if !n.dead(now, id) {
					n.t.Fatalf("slow call failed at %v: began %v, ends %v", now, n.calls[i].began, n.calls[i].answeredAt)
				}
				n.calls = slices.Delete(n.calls, i, i+1)
			}
		}
	}
	for _, c := range n.calls {
		// Counted from when the peer finished the call or failed to receive it.
		if n.dead(c.answeredAt, c.id) && now > max(c.began, n.forgetsAt)+max(c.answeredAt-c.began, 0)+bound {
			n.t.Fatalf("call still waits on a dead connection at %v: began %v, state dropped %v", now, c.began, n.forgetsAt)
		}
	}
}

// Guards against calls that hang until their deadline on connections that nothing
// closes, while other calls to the same peer succeed. A device on the path drops the
// state of all open connections at once while some calls are slow; silence alone
// does not distinguish the two.
func TestSilentConnections(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := DefaultConfig()
		n := &network{
			t: t, p: NewPeer(&cfg), opened: map[ID]time.Duration{},
			rng:       rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)),
			forgetsAt: 2*time.Second + time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "forgets")),
		}
		const tick = 5 * ms
		bound := cfg.MaxRecheckInterval + cfg.ProbeTimeout + cfg.Grace + cfg.MinProbeInterval + 2*tick
		for now := time.Duration(0); now < 18*time.Second; now += tick {
			if now < 6*time.Second {
				n.start(now)
			}
			n.answers(now)
			n.answerProbe(now)
			n.act(now, bound)
		}
		if len(n.calls) > 0 {
			t.Fatalf("%d calls never ended", len(n.calls))
		}
	})
}

// newSilentPeer returns a peer with one call that is silent from time 0.
func newSilentPeer(cfg *Config) (*Peer, ID) {
	p := NewPeer(cfg)
	p.Take(0)
	return p, p.Opened(0)
}

func TestPeerThatCannotTell(t *testing.T) {
	is := is.New(t)
	cfg := DefaultConfig()
	p, id := newSilentPeer(&cfg)
	var failedAt time.Duration
	for now := time.Duration(0); now < 20*time.Second && failedAt == 0; now += 10 * ms {
		for _, a := range p.Tick(now, nil) {
			switch a.Kind {
			case Probe:
				p.RecordStatus(now, id, CannotTell)
				p.ProbeDone(now, true)
			case Fail:
				failedAt = now
			}
		}
	}
	is.Equal(failedAt, cfg.GiveUp)
	is.Equal(p.Open(), 0)
}

func TestDeadConnectionClosesInactiveIdleConnections(t *testing.T) {
	is := is.New(t)
	cfg := DefaultConfig()
	p := NewPeer(&cfg)
	var ids []ID
	for range 3 {
		p.Take(0)
		ids = append(ids, p.Opened(0))
	}
	is.True(p.End(10*ms, ids[1], Complete)) // idle from here on
	acts := p.Tick(250*ms, nil)
	is.Equal(acts, []Action{{Probe, []ID{ids[0], ids[2]}}})
	p.RecordStatus(253*ms, ids[0], NotExecuting)
	p.RecordStatus(253*ms, ids[2], Executing)
	p.ProbeDone(253*ms, true)
	acts = p.Tick(353*ms, nil)
	is.Equal(acts, []Action{{Fail, []ID{ids[0]}}, {Close, []ID{ids[1]}}})
	is.Equal(p.Open(), 1)                     // the slow call keeps waiting
	is.True(!p.End(400*ms, ids[0], Complete)) // too late: the connection was removed
}

// Guards against further calls taking idle connections that may be dead while one
// call waits on such a connection and the peer can't tell what it is executing.
// Closing idle connections only on proof would leave them in use.
func TestUnknownCallStateClosesIdleConnections(t *testing.T) {
	is := is.New(t)
	cfg := DefaultConfig()
	p := NewPeer(&cfg)
	var ids []ID
	for range 3 {
		p.Take(0)
		ids = append(ids, p.Opened(0))
	}
	is.True(p.End(10*ms, ids[1], Complete))
	is.Equal(p.Tick(250*ms, nil), []Action{{Probe, []ID{ids[0], ids[2]}}})
	is.True(p.End(252*ms, ids[2], Complete)) // active since
	p.RecordStatus(253*ms, ids[0], CannotTell)
	p.ProbeDone(253*ms, true)
	is.Equal(p.Tick(p.Next(), nil), []Action{{Close, []ID{ids[1]}}})
	is.Equal(p.Idle(), 1)
	is.Equal(p.Open(), 2)
}

func TestUnreachablePeer(t *testing.T) {
	is := is.New(t)
	cfg := DefaultConfig()
	p, id := newSilentPeer(&cfg)
	probes := 0
	for now := time.Duration(0); now <= cfg.GiveUp; now += 10 * ms {
		for _, a := range p.Tick(now, nil) {
			if a.Kind == Probe {
				probes++ // never answered
			}
		}
	}
	is.True(probes > 1 && probes <= 10)
	is.True(!p.End(cfg.GiveUp, id, Complete))
}

func completeCall(p *Peer, now time.Duration) time.Duration {
	now += ms
	id, result := p.Take(now)
	if result == Dial {
		id = p.Opened(now)
	}
	p.RecordActivity(now, id, true)
	p.End(now, id, Complete)
	p.Tick(now, nil)
	return now
}

func TestAllocs(t *testing.T) {
	cfg := DefaultConfig()
	p := NewPeer(&cfg)
	now := completeCall(p, 0)
	if n := testing.AllocsPerRun(1000, func() { now = completeCall(p, now) }); n != 0 {
		t.Fatalf("%v allocations", n)
	}
}

func BenchmarkCall(b *testing.B) {
	cfg := DefaultConfig()
	p := NewPeer(&cfg)
	now := time.Duration(0)
	b.ReportAllocs()
	for b.Loop() {
		now = completeCall(p, now)
	}
}

// Guards against closing and redialing connections in each lull although the peer
// keeps them open, and against calls on connections that the peer is about to close.
func TestIdleTimeoutFollowsPeer(t *testing.T) {
	is := is.New(t)
	cfg := DefaultConfig()
	cfg.IdleTimeout = 4 * time.Second
	for _, tc := range []struct{ stated, kept, gone time.Duration }{
		{0, 3 * time.Second, 5 * time.Second},
		{10 * time.Second, 7 * time.Second, 9 * time.Second},
		{2 * time.Second, time.Second, 1700 * time.Millisecond},
	} {
		for _, wait := range []time.Duration{tc.kept, tc.gone} {
			p := NewPeer(&cfg)
			_, result := p.Take(0)
			is.Equal(result, Dial)
			id := p.Opened(0)
			p.SetPeerIdleTimeout(tc.stated)
			is.True(p.End(0, id, Complete))
			_, result = p.Take(wait)
			is.Equal(result == Reuse, wait == tc.kept)
		}
	}
}
