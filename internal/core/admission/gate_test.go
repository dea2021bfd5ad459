package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"peardrift/internal/core/request"
	"peardrift/internal/status"
)

const ms = time.Millisecond

func newGate(slots int, change ...func(*Config)) *Gate {
	cfg := DefaultConfig()
	cfg.Slots = slots
	cfg.Limit.InitialFraction = 1
	for _, f := range change {
		f(&cfg)
	}
	return New(cfg, rand.New(rand.NewPCG(1, 2)))
}

func prio(imp request.Importance, hash uint16) request.Priority {
	return request.Priority(imp)<<16 | request.Priority(hash)
}

// fill occupies n slots with tickets from 1000 on.
func fill(g *Gate, now time.Duration, n int) {
	for i := range n {
		g.Arrive(now, Arrival{Ticket: Ticket(1000 + i), Priority: prio(50, 0)}, nil)
	}
}

func TestQueueOrder(t *testing.T) {
	is := is.New(t)
	g := newGate(1)
	fill(g, 0, 1)
	for i, a := range []Arrival{
		{Priority: prio(10, 9)}, {Priority: prio(90, 1)}, {Priority: prio(10, 1), Nested: true},
		{Priority: prio(90, 2)}, {Priority: prio(90, 1)}, {Priority: prio(10, 0), Nested: true, InProgress: true},
	} {
		a.Ticket = Ticket(i)
		d, _ := g.Arrive(0, a, nil)
		is.Equal(d.Verdict, Queue)
	}
	var got []Ticket
	last := Ticket(1000)
	for range 6 {
		out := g.Finish(ms, last, OK, 0, nil)
		is.Equal(len(out), 1)
		is.Equal(out[0].Verdict, Admit)
		last = out[0].Ticket
		got = append(got, last)
	}
	is.Equal(got, []Ticket{3, 1, 4, 5, 2, 0})
}

func TestFullQueueEvictsLeastImportant(t *testing.T) {
	is := is.New(t)
	g := newGate(1, func(c *Config) { c.QueueLimit = 2 })
	fill(g, 0, 1)
	g.Arrive(0, Arrival{Ticket: 1, Priority: prio(20, 0)}, nil)
	g.Arrive(0, Arrival{Ticket: 2, Priority: prio(30, 0)}, nil)

	d, out := g.Arrive(0, Arrival{Ticket: 3, Priority: prio(10, 0)}, nil)
	is.Equal(d.Verdict, Refuse)
	is.Equal(d.Reason, status.CodeOverloaded)
	is.True(d.RetryAfter >= time.Second)
	is.Equal(len(out), 0)

	d, out = g.Arrive(0, Arrival{Ticket: 4, Priority: prio(40, 0)}, nil)
	is.Equal(d.Verdict, Queue)
	is.Equal(len(out), 1)
	is.Equal(out[0].Ticket, Ticket(1))
	is.Equal(out[0].Verdict, Refuse)
}

// Guards against refusing important requests when overload starts with an empty
// history, as after a restart: an order that has to be learned first would refuse
// payouts and run feed reads.
func TestFirstOverloadRefusesByImportance(t *testing.T) {
	is := is.New(t)
	g := newGate(4, func(c *Config) { c.QueueLimit = 4 })
	fill(g, 0, 4)
	refused := map[request.Importance]int{}
	imps := map[Ticket]request.Importance{}
	for i := range 40 {
		imp := request.Importance(i % 10)
		imps[Ticket(i)] = imp
		d, out := g.Arrive(0, Arrival{Ticket: Ticket(i), Priority: prio(imp, uint16(i))}, nil)
		for _, a := range append(out, Action{Ticket(i), d}) {
			if a.Verdict == Refuse {
				refused[imps[a.Ticket]]++
			}
		}
	}
	is.Equal(refused[9], 0)
	is.Equal(refused[8], 4)
	is.Equal(refused[0], 4)
}

func TestDeadlines(t *testing.T) {
	for _, c := range []struct {
		name    string
		busy    int // further running or queued requests, 4 slots
		left    time.Duration
		verdict Verdict
		reason  status.Code
	}{
		{"passed", 0, 0, Refuse, status.CodeDeadline},
		{"shorter than the service time, slots free", 0, 50 * ms, Admit, ""},
		{"shorter than half of it, a quarter free", 2, 40 * ms, Refuse, status.CodeDeadline},
		{"longer than half of it, a quarter free", 2, 60 * ms, Admit, ""},
		{"shorter than the service time, none free", 3, 90 * ms, Refuse, status.CodeDeadline},
		{"long enough", 0, 200 * ms, Admit, ""},
		{"too short including the wait", 7, 130 * ms, Refuse, status.CodeOverloaded}, // 3 running, 4 queued: 100 ms
		{"long enough including the wait", 7, 300 * ms, Queue, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			g := newGate(4)
			now := trainGate(g, 100*ms)
			g.Arrive(now, Arrival{Ticket: 1, Priority: prio(50, 0)}, nil)
			fill(g, now, c.busy)
			d, _ := g.Arrive(now, Arrival{Ticket: 2, Priority: prio(50, 0), Deadline: now + c.left}, nil)
			is.Equal(d.Verdict, c.verdict)
			is.Equal(d.Reason, c.reason)
		})
	}
}

// Guards against refusing all short deadlines as soon as the mean service time
// exceeds them, though slots are free and two in five requests would finish in time.
// Twenty slots serve ten requests per 100 ms, which take a uniform 50 to 150 ms and
// have a timeout of 90 ms; three in ten were refused.
func TestShortDeadlineIsAdmittedWhileSlotsAreFree(t *testing.T) {
	is := is.New(t)
	g := newGate(20)
	now := trainGate(g, 100*ms)
	rng := rand.New(rand.NewPCG(3, 4))
	const n, timeout = 2000, 90 * ms
	ends := map[Ticket]time.Duration{}
	served := 0
	for i := range n {
		now += 10 * ms
		for t, at := range ends {
			if at <= now {
				g.Finish(at, t, OK, 0, nil)
				delete(ends, t)
			}
		}
		id := Ticket(i + 1)
		d, _ := g.Arrive(now, Arrival{Ticket: id, Priority: prio(50, uint16(i*7919)), Deadline: now + timeout}, nil)
		if d.Verdict != Admit {
			continue
		}
		took := 50*ms + time.Duration(rng.Int64N(int64(100*ms)))
		ends[id] = now + took
		if took <= timeout {
			served++
		}
	}
	is.True(served > n*35/100)
}

// trainGate runs 40 requests in sequence, each with the given service time, and
// returns the instant after the last.
func trainGate(g *Gate, took time.Duration) time.Duration {
	now := time.Duration(0)
	for i := range 40 {
		t := Ticket(10_000 + i)
		g.Arrive(now, Arrival{Ticket: t, Priority: prio(50, 0)}, nil)
		now += took
		g.Finish(now, t, OK, 0, nil)
	}
	return now
}

// Guards against an estimate that only admitted requests can correct. Requests of a
// rare importance take 2 s for a while; after the target recovers, they are still
// refused for short deadlines, so no new sample is measured.
func TestRareImportanceRecoversFromSlowEstimate(t *testing.T) {
	is := is.New(t)
	g := newGate(4)
	now := trainGate(g, 10*ms)
	for i := range 40 {
		t := Ticket(20_000 + i)
		g.Arrive(now, Arrival{Ticket: t, Priority: prio(90, 0)}, nil)
		now += 2 * time.Second
		g.Finish(now, t, OK, 0, nil)
	}
	is.True(g.service.estimate(90) > time.Second)
	fill(g, now, 2)
	d, _ := g.Arrive(now, Arrival{Ticket: 1, Priority: prio(90, 0), Deadline: now + time.Second}, nil)
	is.Equal(d.Verdict, Admit) // the only one of its importance is admitted
	g.Finish(now, 1000, OK, 0, nil)
	g.Arrive(now, Arrival{Ticket: 3, Priority: prio(50, 0)}, nil)
	d, _ = g.Arrive(now, Arrival{Ticket: 2, Priority: prio(90, 0), Deadline: now + time.Second}, nil)
	is.Equal(d.Reason, status.CodeDeadline)
}

func TestCancel(t *testing.T) {
	is := is.New(t)
	g := newGate(1)
	fill(g, 0, 1)
	for id := Ticket(1); id <= 2; id++ {
		g.Arrive(0, Arrival{Ticket: id, Priority: prio(50, uint16(id))}, nil)
	}
	out := g.Cancel(ms, 2, nil) // queued: refused at once
	is.Equal(len(out), 1)
	is.Equal(out[0].Ticket, Ticket(2))
	is.Equal(out[0].Reason, status.CodeCanceled)
	out = g.Cancel(ms, 1000, nil) // running: its slot goes to the next
	is.Equal(len(out), 1)
	is.Equal(out[0].Ticket, Ticket(1))
	is.Equal(out[0].Verdict, Admit)
	is.Equal(len(g.Finish(ms, 1000, OK, 0, nil)), 0) // the later of Cancel and Finish is ignored
	is.Equal(g.Stats().Running, 1)
}

func TestQueuedRequestThatCannotFinishIsRefusedAtNext(t *testing.T) {
	is := is.New(t)
	g := newGate(1)
	now := trainGate(g, 10*ms)
	fill(g, now, 1)
	g.Arrive(now, Arrival{Ticket: 1, Priority: prio(50, 0), Deadline: now + 30*ms}, nil)
	due := g.Next()
	is.True(due < now+30*ms)
	out := g.Tick(due, nil)
	is.Equal(len(out), 1)
	is.Equal(out[0].Reason, status.CodeOverloaded)
	is.Equal(g.Stats().Queued, 0)
}

func TestRetryAfterGrowsAndSpreads(t *testing.T) {
	is := is.New(t)
	g := newGate(4)
	trainGate(g, 10*ms)
	advice := func(demand float64) (low, high time.Duration) {
		g.levels.tenant(0).demand.total = demand
		low = time.Hour
		for range 200 {
			d := g.refuse(status.CodeOverloaded)
			low, high = min(low, d.RetryAfter), max(high, d.RetryAfter)
		}
		return low, high
	}
	low, high := advice(0)
	is.True(low >= time.Second && low < 1100*ms)
	is.True(high > 1900*ms && high <= 2*time.Second)
	low, high = advice(3 * 400) // three times the capacity of 4 slots at 10 ms
	is.True(low >= 2900*ms && low < 3300*ms)
	is.True(high > 5700*ms)
	_, high = advice(1e9)
	is.True(high <= 30*time.Second)
}

// Guards against refusing a nested call whose entry was admitted at level 0 before
// the level of a service further down rose: the entry could not know that level, and
// the work of the whole chain would be wasted.
func TestNestedRequestUsesTheLevelItWasAdmittedUnder(t *testing.T) {
	is := is.New(t)
	var tn tenantLevel
	l := &levels{tenants: []*tenantLevel{&tn}}
	set := func(level request.Level, windows int) {
		for range windows {
			tn.level = level
			l.recordLevels(0, true)
		}
	}
	set(0, graceWindows)
	set(prio(50, 0), 1)
	is.True(tn.refuses(prio(40, 0), false, onlyCurrent))
	is.True(!tn.refuses(prio(40, 0), true, onlyCurrent)) // still in the grace period
	set(prio(50, 0), graceWindows)
	is.True(tn.refuses(prio(40, 0), true, onlyCurrent))
	is.True(!tn.refuses(prio(50, 0), false, onlyCurrent))
}

func TestLevelForFitsDemandToCapacity(t *testing.T) {
	is := is.New(t)
	var d demand
	for h := range 65536 / 16 {
		d.record(prio(10, uint16(h*16)), 1)
		d.record(prio(40, uint16(h*16)), 1)
	}
	for range 40 {
		d.endWindow(time.Second, 0, nil, 1)
		d.arrived = d.rate
	}
	all := d.total
	level, _ := d.levelFor(all*1.01, 0)
	is.Equal(level, request.Level(0))
	for _, part := range []float64{0.9, 0.5, 0.25} {
		level, _ := d.levelFor(part*all, 0)
		left := 0.0
		for imp := request.Importance(10); imp <= 40; imp += 30 {
			above := float64(prio(imp+1, 0)) - float64(max(level, prio(imp, 0)))
			left += max(0, above) / 65536 / 2
		}
		is.True(left > part-0.01 && left < part+0.01)
	}
}

// Guards against "over-share" refusals for the only tenant, after which its node
// tries no other target. The limit falls below the number of running requests, and
// the tenant's use is compared with the current slots though no other tenant asks
// for any.
func TestTenantAloneIsNotOverItsShare(t *testing.T) {
	is := is.New(t)
	g := newGate(4)
	fill(g, 0, 4)
	g.SetCapacity(1)
	refused := 0
	for i := range 100 {
		d, out := g.Arrive(ms, Arrival{Ticket: Ticket(i), Priority: prio(10, uint16(i))}, nil)
		out = append(out, Action{Decision: d})
		for _, a := range out {
			if a.Verdict == Refuse {
				refused++
				is.Equal(a.Reason, status.CodeOverloaded)
			}
		}
	}
	is.True(refused > 0)
}

// Guards against refusing the calls of a paced request for a level or an exemption that
// changed after it had started: its chain takes longer than the grace period of callers
// that don't pace.
func TestPacedRequestsAreJudgedByTheLevelTheyStartedUnder(t *testing.T) {
	for _, tt := range []struct {
		name    string
		started request.Level
		exempt  exemptions
	}{
		{"under a lower level", 0, nil},
		{"exempt", prio(50, 0), exemptions{prio(40, 0)}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			l := newLevels(true)
			tn := l.tenant(0)
			set := func(level request.Level, x exemptions, windows int) {
				for range windows {
					tn.level, tn.exempt = level, x
					l.recordLevels(0, true)
				}
			}
			set(prio(50, 0), nil, pacedGraceWindows)
			set(tt.started, tt.exempt, 1)
			set(prio(50, 0), nil, pacedGraceWindows-1)
			is.True(tn.refuses(prio(40, 0), false, onlyCurrent))
			is.True(!tn.refuses(prio(40, 0), true, onlyCurrent))
			set(prio(50, 0), nil, 1)
			is.True(tn.refuses(prio(40, 0), true, onlyCurrent))
		})
	}
}

// Guards against requests that fail halfway: a further call of a request that the target has
// served before was refused by a level that had risen after the request was let in.
func TestRequestInProgressIsJudgedByTheLevelsSinceItStarted(t *testing.T) {
	const started = time.Second
	g := newGate(4)
	l, tn := g.levels, g.levels.tenant(0)
	high := request.Level(prio(50, 0))
	for now := time.Duration(0); now <= 2*started; now += 50 * ms {
		tn.level = high
		if now == started {
			tn.level = 0
		}
		l.recordLevels(now, true)
	}
	tn.level = high
	for _, tt := range []struct {
		name       string
		age        time.Duration
		inProgress bool
		want       Verdict
	}{
		{"started under a lower level", started, true, Admit},
		{"started while its entry still applied the lower level", 800 * ms, true, Admit},
		{"the same, not served here before", started, false, Refuse},
		{"started under this level", 500 * ms, true, Refuse},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			d, _ := g.Arrive(2*started, Arrival{Ticket: Ticket(tt.age) + 1, Priority: prio(40, 0), Nested: true, Age: tt.age, InProgress: tt.inProgress}, nil)
			is.Equal(d.Verdict, tt.want)
		})
	}
}

// Guards against requests that start with their call to the target and whose demand is judged
// as late as that of requests that call it in the end.
func TestDemandSettlesByTheAgeOfItsImportance(t *testing.T) {
	const late, direct = 10, 20
	is := is.New(t)
	var d demand
	r := &reactionTimes{mean: time.Second}
	for range 1000 {
		r.arrive(late, time.Second)
		r.arrive(direct, 0)
	}
	d.settle(50*ms, r, prio(30, 0), nil)
	for now := 100 * ms; now <= 200*ms; now += 50 * ms {
		d.settle(now, r, 0, nil)
	}
	is.Equal(d.settledFrom(direct), importanceStart(direct))
	is.Equal(d.settledFrom(late), importanceStart(late+1))
	for now := 250 * ms; now <= 3*time.Second; now += 50 * ms {
		d.settle(now, r, 0, nil)
	}
	is.Equal(d.settledFrom(late), importanceStart(late))
}
