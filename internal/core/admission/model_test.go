package admission

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"peardrift/internal/core/request"
	"peardrift/internal/status"
)

// op is one operation of a generated history.
type op struct {
	kind     int // arrive, finish, cancel, tick
	after    time.Duration
	imp, pos int
	hash     uint16
	tenant   uint16
	deep     bool
	deadline time.Duration // 0: none
	result   Result
}

func ops() *rapid.Generator[[]op] {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) op {
		return op{
			kind:     rapid.SampledFrom([]int{0, 0, 0, 0, 1, 1, 1, 2, 3}).Draw(t, "kind"),
			after:    time.Duration(rapid.IntRange(0, 30_000).Draw(t, "µs")) * time.Microsecond,
			imp:      rapid.SampledFrom([]int{0, 10, 10, 50, 100}).Draw(t, "importance"),
			pos:      rapid.IntRange(0, 1<<16).Draw(t, "pos"),
			hash:     rapid.Uint16().Draw(t, "hash"),
			tenant:   rapid.Uint16Range(0, 2).Draw(t, "tenant"),
			deep:     rapid.Bool().Draw(t, "deep"),
			deadline: time.Duration(rapid.IntRange(0, 200).Draw(t, "deadline")) * ms,
			result:   rapid.SampledFrom([]Result{OK, OK, OK, Overloaded, Failed, Canceled}).Draw(t, "result"),
		}
	}), 1, 300)
}

// model checks invariants of a gate that hold for every decision.
type model struct {
	t       *rapid.T
	gate    *Gate
	now     time.Duration
	id      Ticket
	queued  map[Ticket]Arrival
	running []Ticket
	final   map[Ticket]int // final decisions
	log     []Action
}

func newModel(t *rapid.T, slots int) *model {
	cfg := DefaultConfig()
	cfg.Slots, cfg.QueueLimit, cfg.MaxWait = slots, 5, 100*ms
	return &model{
		t: t, gate: New(cfg, rand.New(rand.NewPCG(1, 1))),
		queued: map[Ticket]Arrival{}, final: map[Ticket]int{},
	}
}

func (m *model) apply(o op) {
	m.now += o.after
	switch {
	case o.kind == 0:
		m.arrive(o)
	case o.kind == 1 && len(m.running) > 0:
		i := o.pos % len(m.running)
		t := m.running[i]
		m.running = slices.Delete(m.running, i, i+1)
		m.settle(m.gate.Finish(m.now, t, o.result, 0, nil))
	case o.kind == 2 && m.id > 0:
		m.cancel(Ticket(o.pos)%m.id + 1)
	default:
		m.settle(m.gate.Tick(m.now, nil))
	}
	m.check()
}

func (m *model) arrive(o op) {
	m.id++
	a := Arrival{Ticket: m.id, Priority: prio(request.Importance(o.imp), o.hash), Tenant: o.tenant, Nested: o.deep}
	if o.deadline > 0 {
		a.Deadline = m.now + o.deadline
	}
	d, out := m.gate.Arrive(m.now, a, nil)
	m.settle(out)
	m.log = append(m.log, Action{a.Ticket, d})
	if d.Verdict == Queue {
		m.queued[a.Ticket] = a
		return
	}
	m.decide(a, d)
}

func (m *model) cancel(t Ticket) {
	out := m.gate.Cancel(m.now, t, nil)
	if i := slices.Index(m.running, t); i >= 0 {
		m.running = slices.Delete(m.running, i, i+1)
	}
	m.settle(out)
	if _, ok := m.queued[t]; ok {
		m.t.Fatalf("canceled ticket %d is still queued", t)
	}
}

func (m *model) settle(out []Action) {
	for _, act := range out {
		a, ok := m.queued[act.Ticket]
		if !ok || act.Verdict == Queue {
			m.t.Fatalf("action %+v for a ticket that isn't queued", act)
		}
		delete(m.queued, act.Ticket)
		m.log = append(m.log, act)
		m.decide(a, act.Decision)
	}
}

// decide records a final decision and checks it.
func (m *model) decide(a Arrival, d Decision) {
	m.final[a.Ticket]++
	if m.final[a.Ticket] > 1 {
		m.t.Fatalf("second decision %+v for %d", d, a.Ticket)
	}
	if d.Verdict == Refuse {
		if d.Reason == "" || d.RetryAfter < time.Second {
			m.t.Fatalf("refusal without reason or retry delay: %+v", d)
		}
		return
	}
	m.running = append(m.running, a.Ticket)
	if len(m.running) > m.gate.limiter.Limit() {
		m.t.Fatalf("%d run, limit %d", len(m.running), m.gate.limiter.Limit())
	}
	if a.Deadline != 0 && m.now >= a.Deadline {
		m.t.Fatalf("admitted past its deadline: %+v", a)
	}
	for _, w := range m.queued {
		if w.Tenant == a.Tenant && queueKey(&w) > queueKey(&a) {
			m.t.Fatalf("admitted %+v while %+v is queued", a, w)
		}
	}
}

func (m *model) check() {
	s := m.gate.Stats()
	if s.Running != len(m.running) || s.Queued != len(m.queued) || s.Queued > 5 {
		m.t.Fatalf("gate counts %d running, %d queued; model %d, %d", s.Running, s.Queued, len(m.running), len(m.queued))
	}
	if s.Queued > 0 && s.Running < s.Limit {
		m.t.Fatalf("%d queued while a slot is free (%d of %d running)", s.Queued, s.Running, s.Limit)
	}
	for _, a := range m.queued {
		if a.Deadline != 0 && a.Deadline < m.now {
			m.t.Fatalf("%+v is queued past its deadline", a)
		}
	}
}

// drainAndCheck drains the gate and checks that every arrival had exactly one final
// decision.
func (m *model) drainAndCheck() {
	out := m.gate.Drain(m.now, nil)
	for _, a := range out {
		if a.Reason != status.CodeDraining && a.Verdict != Admit && a.Reason != status.CodeOverloaded {
			m.t.Fatalf("drain: %+v", a)
		}
	}
	m.settle(out)
	d, _ := m.gate.Arrive(m.now, Arrival{Ticket: m.id + 1}, nil)
	if d.Reason != status.CodeDraining {
		m.t.Fatalf("arrival after drain: %+v", d)
	}
	for id := Ticket(1); id <= m.id; id++ {
		if m.final[id] != 1 {
			m.t.Fatalf("ticket %d has %d final decisions", id, m.final[id])
		}
	}
}

func TestGateInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 12).Draw(t, "slots")
		m := newModel(t, slots)
		for _, o := range ops().Draw(t, "ops") {
			m.apply(o)
		}
		m.drainAndCheck()
	})
}

func TestDecisionsAreDeterministic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		history := ops().Draw(t, "ops")
		var logs [2][]Action
		for i := range logs {
			m := newModel(t, 3)
			for _, o := range history {
				m.apply(o)
			}
			logs[i] = m.log
		}
		if !slices.Equal(logs[0], logs[1]) {
			t.Fatalf("two runs differ")
		}
	})
}
