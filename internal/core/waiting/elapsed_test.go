package waiting

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"peardrift/internal/status"
)

// stating returns an arrival whose caller states the time, which is also its deadline.
func stating(t Ticket, now, stated time.Duration) Request {
	r := arrival(t, 10, now, time.Second)
	r.Stated, r.Deadline = stated, now+stated
	return r
}

// learnStated makes the stated time of first sends known. They are of another importance,
// so that no rate of starts is known.
func learnStated(q *Queue, p *fakePacer, stated time.Duration) {
	learn(q, readKey, 100*ms)
	for i := range 2 * minStated {
		p.tokens = 1
		r := stating(Ticket(i), 0, stated)
		r.Importance = 50
		arrive(q, r)
	}
	p.tokens = 0
}

// Guards against a return that waits behind requests which can wait longer, and beyond the
// objective counted from its first send.
func TestReturnIsMostUrgent(t *testing.T) {
	is := is.New(t)
	p := &fakePacer{}
	q := newQueue(p, 10)
	learnStated(q, p, 2*time.Second)
	arrive(q, stating(101, 0, 2*time.Second))
	arrive(q, stating(102, 0, 1600*ms)) // first sent 400 ms ago
	p.tokens = 1
	is.Equal(tickets(q.Tick(30*ms, nil), Start), []Ticket{102})
	arrive(q, stating(103, 30*ms, 1600*ms))
	is.Equal(tickets(q.Tick(600*ms, nil), Refuse), []Ticket{103})
}

// Guards against a late return that takes the place of requests that can meet their
// objective, that is refused although there is time, or held when its time has passed.
func TestLateReturnStartsAfterTheOthersUntilItsDeadline(t *testing.T) {
	is := is.New(t)
	p := &fakePacer{}
	q := newQueue(p, 10)
	learnStated(q, p, 2*time.Second)
	for i := range 2 {
		d, _ := arrive(q, stating(Ticket(200+i), 0, 900*ms)) // first sent 1.1 s ago
		is.Equal(d.Verdict, Wait)
	}
	arrive(q, stating(100, 0, 2*time.Second))
	p.tokens = 2
	is.Equal(tickets(q.Tick(750*ms, nil), Start), []Ticket{100, 200})
	is.Equal(tickets(q.Tick(801*ms, nil), Refuse), []Ticket{201})
	d, _ := arrive(q, stating(202, 801*ms, 50*ms)) // its chain can't finish
	is.Equal(d.Verdict, Refuse)
	is.Equal(d.Reason, status.CodeOverloaded)
}

// Guards against a late return that is refused at its deadline although the requests that
// can meet their objective have ample time: ten start in a second, and one waits for 800 ms.
func TestLateReturnStartsWhileTheOthersHaveTime(t *testing.T) {
	is := is.New(t)
	p := &fakePacer{}
	q := newQueue(p, 10)
	learnStated(q, p, 2*time.Second)
	for i := range 20 {
		p.tokens = 1
		d, _ := arrive(q, stating(Ticket(300+i), time.Duration(i)*100*ms, 2*time.Second))
		is.Equal(d.Verdict, Start)
	}
	arrive(q, stating(100, 2*time.Second, 2*time.Second))
	arrive(q, stating(200, 2*time.Second, 500*ms))
	p.tokens = 1
	is.Equal(tickets(q.Tick(2100*ms, nil), Start), []Ticket{200})
	p.tokens = 1
	is.Equal(tickets(q.Tick(2200*ms, nil), Start), []Ticket{100})
}

// Guards against late returns that are held although the backlog ahead of them can't start
// in the time that they have: two start in a second, ten wait, and 400 ms are left.
func TestHopelessLateReturnIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	p := &fakePacer{}
	q := newQueue(p, 20)
	learnStated(q, p, 2*time.Second)
	for i := range 6 {
		p.tokens = 1
		arrive(q, stating(Ticket(300+i), time.Duration(i)*500*ms, 2*time.Second))
	}
	for i := range 10 {
		d, _ := arrive(q, stating(Ticket(100+i), 3*time.Second, 2*time.Second))
		is.Equal(d.Verdict, Wait)
	}
	d, _ := arrive(q, stating(200, 3*time.Second, 500*ms))
	is.Equal(d.Verdict, Refuse)
	is.True(d.RetryAfter >= 3*time.Second) // when the ten have started, at somewhat above two a second
}

// Guards against one caller that states far more time than the others, which would make
// every request look like a return, and against rare times that outgrow the memory.
func TestRareLongTimesDontCount(t *testing.T) {
	var s statedTimes
	rng := rand.New(rand.NewPCG(1, 2))
	for i := range 1000 {
		now := time.Duration(i) * ms
		stated := 2 * time.Second
		if i%10 == 0 {
			stated += time.Duration(rng.IntN(10_000)) * ms
		}
		if e := s.elapsed(now, stated, 10*time.Second); e != 0 {
			t.Fatalf("a first send counts as sent %v ago", e)
		}
	}
}

// Guards against first sends of callers with less time that are taken for returns of
// callers with more: both times are common.
func TestTwoCommonTimesAreFirstSends(t *testing.T) {
	is := is.New(t)
	var s statedTimes
	for range 100 {
		is.Equal(s.elapsed(0, 3*time.Second, time.Minute), time.Duration(0))
		is.Equal(s.elapsed(0, 1500*ms, time.Minute), time.Duration(0))
	}
	e := s.elapsed(0, 1300*ms, time.Minute)
	is.True(e > 200*ms-statedUnit && e <= 200*ms)
}

// Guards against requests that are refused early because their callers' times vary by
// nature: without refusals there are no returns, also if some callers share one time.
func TestVaryingTimesAreFirstSends(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s statedTimes
		common := rapid.IntRange(0, 9).Draw(t, "common tenths")
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		returns := 0
		for i := range 2000 {
			stated := time.Duration(100+rng.IntN(10_000)) * ms
			if rng.IntN(10) < common {
				stated = 5 * time.Second
			}
			if s.elapsed(time.Duration(i)*ms, stated, 10*time.Second) > 0 {
				returns++
			}
		}
		if returns > returnSlack {
			t.Fatalf("%d of 2000 first sends count as returns", returns)
		}
	})
}

// Guards against times that no caller states any more: all later requests would look like
// returns.
func TestStatedTimesAreForgotten(t *testing.T) {
	is := is.New(t)
	var s statedTimes
	const window = 10 * time.Second
	for range 100 {
		s.elapsed(0, 3*time.Second, window)
		s.refused(0, window)
	}
	is.True(s.elapsed(0, time.Second, window) > 0)
	for range 100 {
		s.elapsed(window, time.Second, window)
	}
	is.Equal(s.elapsed(2*window, time.Second, window), time.Duration(0))
}
