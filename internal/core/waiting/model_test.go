package waiting

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"peardrift/internal/core/earlyrefusal"
	"peardrift/internal/core/request"
)

// model checks a queue against what callers are promised.
type model struct {
	q       *Queue
	p       *fakePacer
	now     time.Duration
	waiting map[Ticket]Request
	last    Ticket
	drained bool
}

// wanted returns the instant until which a request may be held at most.
func wanted(r *Request) time.Duration {
	if r.Stated > 0 {
		return r.Deadline // it may be a late return
	}
	return r.due()
}

// apply checks decisions about waiting requests.
func (m *model) apply(t *rapid.T, as []Action) {
	started := -1
	for _, a := range as {
		r, ok := m.waiting[a.Ticket]
		if !ok {
			t.Fatalf("ticket %d is decided twice", a.Ticket)
		}
		delete(m.waiting, a.Ticket)
		if a.Verdict == Wait {
			t.Fatal("a waiting request is told to wait")
		}
		if a.Verdict != Start {
			continue
		}
		if m.now > a.StartBy || a.StartBy >= wanted(&r) {
			t.Fatalf("started at %v, wanted by %v", m.now, wanted(&r))
		}
		if started >= 0 && int(r.Importance) > started {
			t.Fatal("a less important request started first")
		}
		started = int(r.Importance)
	}
}

func (m *model) arrive(t *rapid.T) {
	m.last++
	r := Request{
		Ticket: m.last, Key: readKey,
		Importance: request.Importance(rapid.IntRange(0, 3).Draw(t, "importance")),
		Arrived:    m.now,
		Objective:  time.Duration(rapid.IntRange(0, 2000).Draw(t, "objective")) * ms,
		Bytes:      rapid.IntRange(0, 200).Draw(t, "bytes"),
	}
	r.Key.Class = request.Class(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "class"))
	r.Deadline = m.now + time.Duration(rapid.IntRange(1, 3000).Draw(t, "timeout"))*ms
	r.Stated = rapid.SampledFrom([]time.Duration{0, 3 * time.Second, 3 * time.Second, r.Deadline - m.now}).Draw(t, "stated")
	d, as := m.q.Arrive(m.now, r, nil)
	m.apply(t, as)
	if d.Verdict == Wait {
		m.waiting[r.Ticket] = r
		if m.drained || r.Objective == 0 {
			t.Fatal("the request must not wait")
		}
	}
	if d.Verdict == Refuse && !m.drained && d.RetryAfter < 100*ms {
		t.Fatalf("a refused caller is told to return in %v", d.RetryAfter)
	}
}

func (m *model) step(t *rapid.T) {
	m.now += time.Duration(rapid.IntRange(0, 50).Draw(t, "pause")) * ms
	if rapid.IntRange(0, 50).Draw(t, "suspended") == 0 {
		m.now += 2 * time.Second
	}
	m.p.tokens = rapid.IntRange(0, 3).Draw(t, "tokens")
	switch rapid.IntRange(0, 9).Draw(t, "event") {
	case 0:
		m.apply(t, m.q.Tick(m.now, nil))
	case 1:
		m.apply(t, m.q.Cancel(m.now, Ticket(rapid.IntRange(0, int(m.last)).Draw(t, "ticket")), nil))
	case 2:
		m.q.Finished(m.now, readKey, time.Duration(rapid.IntRange(0, 800).Draw(t, "took"))*ms)
	case 3:
		if rapid.IntRange(0, 9).Draw(t, "remove") == 0 {
			m.apply(t, m.q.Retain(m.now, func(k earlyrefusal.Key) bool { return k.Class == "a" }, nil))
		}
	case 4:
		if rapid.IntRange(0, 30).Draw(t, "drain") == 0 {
			m.apply(t, m.q.Drain(m.now, nil))
			m.drained = true
		}
	default:
		m.arrive(t)
	}
}

func (m *model) check(t *rapid.T) {
	st := m.q.Stats()
	var bytes int64
	for _, r := range m.waiting {
		bytes += int64(r.Bytes)
	}
	if st.Waiting != len(m.waiting) || st.Bytes != bytes {
		t.Fatalf("%d requests of %d bytes wait, %+v is stated", len(m.waiting), bytes, st)
	}
	if st.Waiting > m.q.cfg.MaxWaiting || st.Bytes > m.q.cfg.MaxBytes {
		t.Fatalf("%+v exceeds the bounds", st)
	}
	if len(m.waiting) > 0 && m.q.Next() > m.now+m.q.cfg.PollInterval {
		t.Fatal("no tick is due although requests wait")
	}
}

// Guards against a request that is lost, decided twice, started after its time or ahead
// of a more important one, or held beyond the bounds, in any order of events.
func TestQueueKeepsItsPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := &fakePacer{}
		m := &model{q: newQueue(p, 8), p: p, waiting: map[Ticket]Request{}}
		m.q.cfg.MaxBytes = 1000
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			m.step(t)
			m.check(t)
		}
		// Without capacity every request gets its answer by the time it is wanted.
		p.tokens = 0
		for len(m.waiting) > 0 {
			m.now = m.q.Next()
			as := m.q.Tick(m.now, nil)
			for tk, r := range m.waiting {
				held := m.now > wanted(&r) && !slices.ContainsFunc(as, func(a Action) bool { return a.Ticket == tk })
				if held {
					t.Fatalf("ticket %d is held past %v", tk, wanted(&r))
				}
			}
			m.apply(t, as)
		}
	})
}
