package batch

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/uuid"

	"peardrift/internal/core/claim"
	"peardrift/internal/core/request"
)

// The benchmark drives the batcher with a virtual clock: callers generate dated
// keys, and each call is a claim op followed, after its run, by a deferrable outcome op.
// One Batcher represents all batching nodes, because rows are independent.
const (
	oneWayLatency      = 1500 * time.Microsecond // one-way latency between zones
	minPlatformLatency = 4 * time.Millisecond    // latency of a write or read at the platform
	maxPlatformLatency = 12 * time.Millisecond
	minRun             = 20 * time.Millisecond
	maxRun             = 300 * time.Millisecond
	maxKeyAge          = 50 * time.Millisecond // maximum age of a key at its claim
	maxClockError      = 30 * time.Second      // maximum error of a wrong caller clock
	simDuration        = 10 * time.Second
	warmUp             = 2 * time.Second // excluded from the measurement
)

type event struct {
	at  time.Duration
	run func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// claimOp is a claim or outcome op in flight.
type claimOp struct {
	rowKey, key, token string
	slot               Slot
	sent               time.Duration
	outcome            bool
}

type sim struct {
	b               testing.TB
	rnd             *rand.Rand
	rate            float64 // claims a second
	wrongClockShare float64 // share of callers with wrong clocks
	now             time.Duration
	queue           events
	batcher         *Batcher
	table           map[string]Write
	nextTick        time.Duration // time of the next scheduled tick
	ops             map[uint64]claimOp
	id              uint64

	claims, writes, reads, failed, full, bytes, entries int
	latencies                                           []time.Duration
}

func newSim(b testing.TB, cfg Config, rate, skewed float64) *sim {
	return &sim{
		b: b, rnd: rand.New(rand.NewPCG(7, uint64(rate))), rate: rate, wrongClockShare: skewed, now: t0,
		batcher: New(cfg), table: map[string]Write{}, nextTick: never, ops: map[uint64]claimOp{},
	}
}

func (s *sim) after(d time.Duration, do func()) { heap.Push(&s.queue, event{s.now + d, do}) }

func (s *sim) between(lo, hi time.Duration) time.Duration {
	return lo + time.Duration(s.rnd.Int64N(int64(hi-lo)))
}

func (s *sim) run() {
	s.arrive()
	for len(s.queue) > 0 && s.now < t0+simDuration {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.run()
		if at, ok := s.batcher.Due(); ok && at < s.nextTick {
			s.nextTick = at
			s.after(max(0, at-s.now), func() { s.nextTick = never; s.execute(s.batcher.Tick(s.now)) })
		}
	}
}

// arrive schedules the next call of a Poisson process.
func (s *sim) arrive() {
	s.after(time.Duration(s.rnd.ExpFloat64()/s.rate*float64(time.Second)), func() {
		s.call()
		s.arrive()
	})
}

// key generates a dated key whose time is up to maxKeyAge ago by the caller's
// clock.
func (s *sim) key() string {
	at := s.now - s.between(0, maxKeyAge)
	if s.rnd.Float64() < s.wrongClockShare {
		at += s.between(-maxClockError, maxClockError)
	}
	var id uuid.UUID
	ms := uint64(at.Milliseconds())
	for i := range 6 {
		id[i] = byte(ms >> (40 - 8*i))
	}
	for i := 6; i < len(id); i++ {
		id[i] = byte(s.rnd.Uint32())
	}
	id[6], id[8] = id[6]&0x0f|0x70, id[8]&0x3f|0x80
	return id.String()
}

func (s *sim) call() {
	key := s.key()
	scope := claim.Scope{Tenant: "kalahari", Service: "settleworks.kalahari", Class: "payout"}
	op := claimOp{rowKey: claim.RowKey(scope, key), key: key, token: key[20:], sent: s.now}
	layouts := Layouts{{Slot: s.batcher.cfg.Slot, Shards: s.batcher.cfg.Shards}}
	slot, ok := layouts.SlotOf(op.rowKey, key)
	if !ok {
		s.b.Fatalf("key %s has no slot", key)
	}
	op.slot = slot
	s.send(op, claim.Row{State: claim.Held, Since: s.now, Until: s.now + time.Minute}, 0)
}

func (s *sim) send(op claimOp, row claim.Row, ifVersion int64) {
	value, err := row.Encode()
	if err != nil {
		s.b.Fatal(err)
	}
	s.id++
	id := s.id
	s.ops[id] = op
	s.after(oneWayLatency, func() {
		s.execute(s.batcher.Submit(s.now, Op{
			ID: id, Slot: op.slot, Key: EntryKey(op.rowKey), IfVersion: ifVersion, Deferrable: op.outcome,
			Entry: Entry{Version: ifVersion + 1, Token: op.token[:16], Value: value, Expires: row.Expires},
		}))
	})
}

func (s *sim) execute(acts []Action) {
	for _, a := range acts {
		switch a := a.(type) {
		case Write:
			s.after(s.between(minPlatformLatency, maxPlatformLatency), func() { s.write(a) })
		case Read:
			s.after(s.between(minPlatformLatency, maxPlatformLatency), func() { s.read(a.Row) })
		case Reply:
			s.after(oneWayLatency, func() { s.reply(a) })
		}
	}
}

func (s *sim) measured() bool { return s.now >= t0+warmUp }

func (s *sim) write(w Write) {
	value, err := Encode(w.Entries)
	if err != nil {
		s.b.Fatal(err)
	}
	if s.measured() {
		s.writes++
		s.bytes += len(value)
		s.entries = max(s.entries, len(w.Entries))
	}
	if s.table[w.Row].Version != w.Version-1 {
		s.failed++
		s.execute(s.batcher.ConditionFailed(s.now, w.Row))
		return
	}
	s.table[w.Row] = w
	s.execute(s.batcher.Written(s.now, w.Row))
}

func (s *sim) read(row string) {
	if s.measured() {
		s.reads++
	}
	w := s.table[row]
	s.execute(s.batcher.RowRead(s.now, row, w.Version, w.Entries))
}

func (s *sim) reply(r Reply) {
	op := s.ops[r.ID]
	delete(s.ops, r.ID)
	if r.Result == Full {
		s.full++
		return
	}
	if r.Result != OK {
		s.b.Fatalf("op ends as %d", r.Result)
	}
	if op.outcome {
		return
	}
	if s.measured() {
		s.claims++
		s.latencies = append(s.latencies, s.now-op.sent)
	}
	op.outcome = true
	s.after(s.between(minRun, maxRun), func() {
		s.send(op, claim.Row{State: claim.Done, Since: s.now, Until: s.now, Expires: s.now + time.Hour,
			Outcome: claim.Outcome{Kind: request.Completed, Status: 201, ContentType: "application/json", Size: 100},
		}, 1)
	})
}

func (s *sim) quantile(q float64) float64 {
	slices.Sort(s.latencies)
	return float64(s.latencies[int(q*float64(len(s.latencies)-1))]) / float64(time.Millisecond)
}

// measure reports claims per platform write, platform writes and reads per
// second, the latency of a claim as seen by the callee's node, and the claims
// refused by full rows. ns/claim is the CPU time of the simulation including all
// encoding, an upper bound for the batching nodes.
func measure(b *testing.B, cfg Config, rate, skewed float64) {
	var s *sim
	n := 0
	for b.Loop() {
		s = newSim(b, cfg, rate, skewed)
		s.run()
		n += s.claims
	}
	secs := (simDuration - warmUp).Seconds()
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(n), "ns/claim")
	b.ReportMetric(float64(s.claims)/float64(s.writes), "claims/write")
	b.ReportMetric(float64(s.writes)/secs, "writes/s")
	b.ReportMetric(float64(s.reads)/secs, "reads/s")
	b.ReportMetric(float64(s.bytes)/secs/1000, "KB/s")
	b.ReportMetric(float64(s.entries), "most_entries")
	b.ReportMetric(float64(s.full), "full")
	b.ReportMetric(s.quantile(0.5), "p50_ms")
	b.ReportMetric(s.quantile(0.99), "p99_ms")
}

// BenchmarkClaims measures the cost by claims per second and by the share of
// callers with wrong clocks.
func BenchmarkClaims(b *testing.B) {
	for _, c := range []struct{ rate, skewed float64 }{
		{10, 0}, {100, 0}, {310, 0}, {1000, 0}, {3100, 0}, {6200, 0},
		{3100, 0.01}, {3100, 0.05},
	} {
		b.Run(fmt.Sprintf("claims=%v/s,wrong_clocks=%v%%", c.rate, 100*c.skewed), func(b *testing.B) {
			measure(b, DefaultConfig(), c.rate, c.skewed)
		})
	}
}

// BenchmarkLayouts compares layouts at the design load of 3,100 claims per second.
func BenchmarkLayouts(b *testing.B) {
	for _, c := range []struct {
		shards           int
		slot, deferDelay time.Duration
	}{
		{8, 500 * time.Millisecond, 250 * time.Millisecond},
		{4, 250 * time.Millisecond, 250 * time.Millisecond},
		{8, 250 * time.Millisecond, 250 * time.Millisecond},
		{4, 125 * time.Millisecond, 250 * time.Millisecond},
		{2, 64 * time.Millisecond, 250 * time.Millisecond},
		{4, 125 * time.Millisecond, time.Second},
		{2, 64 * time.Millisecond, time.Second},
	} {
		b.Run(fmt.Sprintf("shards=%d,slot=%v,lazy=%v", c.shards, c.slot, c.deferDelay), func(b *testing.B) {
			cfg := DefaultConfig()
			cfg.Shards, cfg.Slot, cfg.DeferDelay = c.shards, c.slot, c.deferDelay
			measure(b, cfg, 3100, 0)
		})
	}
}
