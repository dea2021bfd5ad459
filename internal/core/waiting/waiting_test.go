package waiting

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"peardrift/internal/core/earlyrefusal"
	"peardrift/internal/core/request"
	"peardrift/internal/status"
)

const ms = time.Millisecond

var readKey = earlyrefusal.Key{Service: "archive.khaosan", Class: "read", Tenant: "khaosan"}

// fakePacer admits as many requests as it has tokens.
type fakePacer struct {
	tokens int
	next   time.Duration
}

func (p *fakePacer) Start(time.Duration, earlyrefusal.Key, request.Importance) bool {
	if p.tokens == 0 {
		return false
	}
	p.tokens--
	return true
}

func (p *fakePacer) Next(now time.Duration, _ earlyrefusal.Key, _ request.Importance) time.Duration {
	return max(now, p.next)
}

func newQueue(p Pacer, bound int) *Queue {
	cfg := DefaultConfig()
	cfg.MaxWaiting = bound
	return New(cfg, p, rand.New(rand.NewPCG(1, 2)))
}

// learn makes the key's chain time known: just above need.
func learn(q *Queue, k earlyrefusal.Key, need time.Duration) {
	for range 20 {
		q.Finished(0, k, need)
	}
}

func arrival(t Ticket, imp request.Importance, now, objective time.Duration) Request {
	return Request{Ticket: t, Key: readKey, Importance: imp, Arrived: now, Objective: objective, Deadline: now + 10*time.Second, Bytes: 100}
}

func arrive(q *Queue, r Request) (Decision, []Action) { return q.Arrive(r.Arrived, r, nil) }

func tickets(as []Action, v Verdict) (ts []Ticket) {
	for _, a := range as {
		if a.Verdict == v {
			ts = append(ts, a.Ticket)
		}
	}
	return ts
}

// Guards against holding a request while there is capacity.
func TestRequestStartsAtOnceWithCapacity(t *testing.T) {
	is := is.New(t)
	d, _ := arrive(newQueue(&fakePacer{tokens: 1}, 10), arrival(1, 10, 0, time.Second))
	is.Equal(d, Decision{Verdict: Start})
}

// Guards against a queue in order of arrival: the important request, and the one with
// the least time left, would start after others that can wait.
func TestStartsByImportanceThenSlack(t *testing.T) {
	is := is.New(t)
	p := &fakePacer{}
	q := newQueue(p, 10)
	learn(q, readKey, 100*ms)
	arrive(q, arrival(1, 10, 0, 900*ms))
	arrive(q, arrival(2, 10, 0, 500*ms))
	arrive(q, arrival(3, 50, 0, 900*ms))
	arrive(q, arrival(4, 50, 0, 700*ms))
	p.tokens = 3
	as := q.Tick(30*ms, nil)
	is.Equal(tickets(as, Start), []Ticket{4, 3, 2})
	is.Equal(q.Stats().Waiting, 1)
}

// Guards against a request that waits until its whole time is gone and then starts in
// vain: its chain needs 200 ms, which must be left when it starts.
func TestRefusedWhenChainCanNoLongerFinish(t *testing.T) {
	is := is.New(t)
	p := &fakePacer{}
	q := newQueue(p, 10)
	learn(q, readKey, 200*ms)
	arrive(q, arrival(1, 10, 0, time.Second))
	var as []Action
	for now := q.Next(); len(as) == 0; now = q.Next() {
		as = q.Tick(now, nil)
		is.True(now <= 801*ms)
	}
	is.Equal(as[0].Verdict, Refuse)
	is.Equal(as[0].Reason, status.CodeOverloaded)
	d, _ := arrive(q, arrival(2, 10, time.Second, 150*ms)) // can't finish at all
	is.Equal(d.Verdict, Refuse)
	short := arrival(3, 10, time.Second, time.Second) // the deadline is before the objective
	short.Deadline = time.Second + 150*ms
	d, _ = arrive(q, short)
	is.Equal(d.Verdict, Refuse)
}

// Guards against a node that was suspended for 2 s and, when it wakes, starts requests
// whose callers have given up.
func TestNothingStartsAfterItsTimeHasPassed(t *testing.T) {
	is := is.New(t)
	p := &fakePacer{}
	q := newQueue(p, 100)
	learn(q, readKey, 100*ms)
	for i := range 50 {
		arrive(q, arrival(Ticket(i), 10, 0, time.Second))
	}
	arrive(q, arrival(99, 10, 0, 4*time.Second))
	p.tokens = 100
	as := q.Tick(2*time.Second, nil)
	is.Equal(len(tickets(as, Refuse)), 50)
	is.Equal(tickets(as, Start), []Ticket{99})
}

// Guards against a full queue that refuses an important or urgent arrival in favour of
// one that was there earlier.
func TestCapRefusesLeastUrgentOfLeastImportant(t *testing.T) {
	is := is.New(t)
	q := newQueue(&fakePacer{}, 3)
	arrive(q, arrival(1, 10, 0, 900*ms))
	arrive(q, arrival(2, 10, 0, 500*ms))
	arrive(q, arrival(3, 20, 0, 2*time.Second))
	d, as := arrive(q, arrival(4, 30, 0, time.Second))
	is.Equal(d.Verdict, Wait)
	is.Equal(tickets(as, Refuse), []Ticket{1})
	d, as = arrive(q, arrival(5, 10, 0, 600*ms)) // less urgent than ticket 2
	is.Equal(d.Verdict, Refuse)
	is.Equal(len(as), 0)
	d, as = arrive(q, arrival(6, 10, 0, 400*ms))
	is.Equal(d.Verdict, Wait)
	is.Equal(tickets(as, Refuse), []Ticket{2})
}

// Guards against a large request in whose favour smaller ones are refused although there
// is no room for it even then.
func TestNothingIsRefusedInVain(t *testing.T) {
	is := is.New(t)
	q := newQueue(&fakePacer{}, 100)
	q.cfg.MaxBytes = 1000
	for i := range 10 {
		arrive(q, arrival(Ticket(i), request.Importance(10+i), 0, time.Second))
	}
	large := arrival(20, 12, 0, time.Second)
	large.Bytes = 500
	d, as := arrive(q, large)
	is.Equal(d.Verdict, Refuse)
	is.Equal(len(as), 0)
	large.Importance = 16
	d, as = arrive(q, large)
	is.Equal(d.Verdict, Wait)
	is.Equal(tickets(as, Refuse), []Ticket{0, 1, 2, 3, 4})
	is.True(q.Stats().Bytes <= 1000)
}

// Guards against waiting requests that are lost in a shutdown: each is refused as
// draining, and later ones don't wait.
func TestDrainRefusesAll(t *testing.T) {
	is := is.New(t)
	p := &fakePacer{}
	q := newQueue(p, 100)
	for i := range 40 {
		arrive(q, arrival(Ticket(i), request.Importance(i%3), 0, time.Second))
	}
	as := q.Drain(10*ms, nil)
	is.Equal(len(as), 40)
	for _, a := range as {
		is.Equal(a.Decision, Decision{Reason: status.CodeDraining})
	}
	is.Equal(q.Next(), never)
	d, _ := arrive(q, arrival(50, 1, 20*ms, time.Second))
	is.Equal(d.Reason, status.CodeDraining)
	p.tokens = 1
	d, _ = arrive(q, arrival(51, 1, 20*ms, time.Second))
	is.Equal(d.Verdict, Start)
}

// Guards against requests that wait for an objective which the configuration no longer
// declares.
func TestRemovedObjectiveReleasesItsRequests(t *testing.T) {
	is := is.New(t)
	q := newQueue(&fakePacer{}, 100)
	other := arrival(9, 10, 0, time.Second)
	other.Key.Class = "write"
	arrive(q, other)
	for i := range 5 {
		arrive(q, arrival(Ticket(i), 10, 0, time.Second))
	}
	as := q.Retain(10*ms, func(k earlyrefusal.Key) bool { return k.Class == "write" }, nil)
	is.Equal(len(tickets(as, Bypass)), 5)
	is.Equal(q.Stats().Waiting, 1)
}

// Guards against a node whose keys, renamed by configurations over weeks, use up the
// bound, after which no request waits.
func TestForgottenKeysFreeTheBound(t *testing.T) {
	is := is.New(t)
	q := newQueue(&fakePacer{}, 10)
	q.cfg.MaxKeys = 2
	for i := range 10 {
		now := time.Duration(i) * time.Second
		r := arrival(Ticket(i), 10, now, time.Second)
		r.Key.Class = request.Class(rune('a' + i))
		d, _ := arrive(q, r)
		is.Equal(d.Verdict, Wait)
		q.Retain(now, func(earlyrefusal.Key) bool { return false }, nil)
	}
}

// Guards against starting a request whose caller has left.
func TestCancelledRequestIsNotStarted(t *testing.T) {
	is := is.New(t)
	p := &fakePacer{}
	q := newQueue(p, 10)
	arrive(q, arrival(1, 10, 0, time.Second))
	arrive(q, arrival(2, 10, 0, time.Second))
	p.tokens = 5
	as := q.Cancel(5*ms, 1, nil)
	is.Equal(as[0], Action{1, Decision{Reason: status.CodeCanceled}})
	is.Equal(tickets(append(as, q.Tick(20*ms, nil)...), Start), []Ticket{2})
	is.Equal(len(q.Cancel(30*ms, 1, nil)), 0) // decided already
}

// Guards against a retry delay that says nothing of the capacity: with 100 requests
// ahead, of which 50 start in a second, there is room in 2 s, not at once.
func TestRetryAfterFollowsBacklog(t *testing.T) {
	is := is.New(t)
	p := &fakePacer{}
	q := newQueue(p, 101)
	learn(q, readKey, 100*ms)
	now, seen := time.Duration(0), 0
	for i := range 101 {
		arrive(q, arrival(Ticket(i), 10, 0, time.Minute/2))
	}
	for ; seen < 200; seen++ {
		now += 20 * ms
		p.tokens = 1
		is.Equal(len(tickets(q.Tick(now, nil), Start)), 1)
		arrive(q, arrival(Ticket(1000+seen), 10, now, time.Minute/2-now))
	}
	lowest, highest := time.Hour, time.Duration(0)
	for range 200 {
		d, _ := arrive(q, arrival(1, 10, now, 50*ms))
		is.Equal(d.Verdict, Refuse)
		lowest, highest = min(lowest, d.RetryAfter), max(highest, d.RetryAfter)
	}
	is.True(lowest >= 1600*ms && lowest <= 2400*ms)
	is.True(highest >= 3*time.Second && highest <= 4800*ms) // spread over as much again
}

// Guards against callers that return together, or sooner than a capacity can change.
func TestRetryAfterHasLowerBoundAndSpread(t *testing.T) {
	is := is.New(t)
	q := newQueue(&fakePacer{}, 0)
	values := map[time.Duration]bool{}
	for i := range 100 {
		d, _ := arrive(q, arrival(Ticket(i), 10, 0, time.Second))
		is.True(d.RetryAfter >= 100*ms && d.RetryAfter < 200*ms)
		values[d.RetryAfter] = true
	}
	is.True(len(values) > 50)
}

// Guards against a chain time that is too short for requests to finish, or so long that
// none may wait, and against one that is still used after two windows without samples.
func TestChainTimeIsHighQuantile(t *testing.T) {
	is := is.New(t)
	var c chainTimes
	cfg := DefaultConfig()
	_, ok := c.at(0, &cfg)
	is.True(!ok)
	for i := range 1000 {
		c.add(0, time.Duration(i+1)*ms, cfg.SampleWindow)
	}
	d, ok := c.at(0, &cfg)
	is.True(ok && d >= 950*ms && d <= 1070*ms) // at most one step of an eighth above
	for range 100 {
		c.add(11*time.Second, 20*ms, cfg.SampleWindow)
	}
	_, ok = c.at(22*time.Second, &cfg)
	is.True(ok)
	d, _ = c.at(22*time.Second, &cfg)
	is.True(d >= 20*ms && d <= 23*ms)
	_, ok = c.at(60*time.Second, &cfg)
	is.True(!ok)
}

// Guards against chain times that are estimated too short.
func TestBucketBoundsContainTimes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := time.Duration(rapid.Int64Range(0, int64(100*time.Second)).Draw(t, "time"))
		b := bucketBound(bucketOf(d))
		if b <= d || b > d+d/8+2*chainUnit {
			t.Fatalf("%v is in the bucket below %v", d, b)
		}
	})
}

// Guards against bounds that a fleet's memory limit doesn't cover.
func TestBoundsFollowMemoryLimit(t *testing.T) {
	is := is.New(t)
	cfg := DefaultConfig()
	cfg.SetBounds(284<<20, 4096)
	is.Equal(cfg.MaxWaiting, 2048) // half of the calls in flight
	is.True(cfg.MaxBytes <= 284<<20/8)
	cfg.SetBounds(8<<20, 4096)
	is.Equal(cfg.MaxWaiting, 512) // an eighth of the memory
	cfg.SetBounds(0, 4096)
	is.Equal(cfg.MaxWaiting, 0)
}
