package dataplane

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"peardrift/internal/core/configset"
	"peardrift/internal/core/earlyrefusal"
	"peardrift/internal/core/request"
	"peardrift/internal/core/waiting"
	"peardrift/internal/status"
)

// ratePacer starts a request of any key each interval.
type ratePacer struct {
	interval time.Duration
	free     time.Duration // when the next request may start
}

func (p *ratePacer) Arrived(time.Duration, earlyrefusal.Key, request.Importance) {}

func (p *ratePacer) Start(now time.Duration, _ earlyrefusal.Key, _ request.Importance) bool {
	if now < p.free {
		return false
	}
	p.free = max(p.free+p.interval, now)
	return true
}

func (p *ratePacer) Next(now time.Duration, _ earlyrefusal.Key, _ request.Importance) time.Duration {
	return max(now, p.free)
}

func (p *ratePacer) DrawLevel(earlyrefusal.Key, request.Importance) request.Level { return 0 }

const testObjective = time.Second

var waitingKey = earlyrefusal.Key{Service: "svc.t", Class: "read", Tenant: "t"}

func indexWithObjective(objective time.Duration) *configset.Index {
	return configset.NewIndex(configset.Set{Tenant: "t", Version: 1, Share: 1, Services: []configset.Service{
		{Name: "svc", Slots: 10, Routes: []configset.Route{{Name: "read", Host: "h", Prefix: "/", Weight: 1, Objective: objective}}},
	}})
}

// queueLoad sends requests to an entry queue in virtual time.
type queueLoad struct {
	q     *entryQueue
	index *configset.Index
	jump  atomic.Int64 // added to the clock, in nanoseconds
	wg    sync.WaitGroup
	mu    sync.Mutex
	ends  []queueEnd
}

// queueEnd is the end of one request's wait.
type queueEnd struct {
	waiting.Request
	waiting.Decision
	at time.Duration
}

func newQueueLoad(p pacer, bound int) *queueLoad {
	l := &queueLoad{index: indexWithObjective(testObjective)}
	cfg := waiting.DefaultConfig()
	cfg.MaxWaiting = bound
	epoch := time.Now()
	l.q = newEntryQueue(cfg, p, func() time.Duration { return time.Since(epoch) + time.Duration(l.jump.Load()) })
	l.q.setIndex(l.index)
	return l
}

func (l *queueLoad) send(ctx context.Context, n int, imp request.Importance, timeout time.Duration) {
	for range n {
		now := l.q.now()
		r := waiting.Request{
			Key: waitingKey, Importance: imp, Arrived: now, Objective: testObjective,
			Deadline: now + timeout, Bytes: waiting.RequestBytes,
		}
		l.wg.Go(func() {
			d, _ := l.q.enter(ctx, l.index, r)
			l.mu.Lock()
			defer l.mu.Unlock()
			l.ends = append(l.ends, queueEnd{r, d, l.q.now()})
		})
	}
	synctest.Wait()
}

// run lets the time pass and returns when all decisions until then have been recorded.
func (l *queueLoad) run(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// wait waits until all requests are decided.
func (l *queueLoad) wait() { l.wg.Wait() }

func (l *queueLoad) count(match func(e queueEnd) bool) (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.ends {
		if match(e) {
			n++
		}
	}
	return n
}

func started(e queueEnd) bool { return e.Verdict == waiting.Start }

func refusedWith(code status.Code) func(queueEnd) bool {
	return func(e queueEnd) bool { return e.Verdict == waiting.Refuse && e.Reason == code }
}

// Guards against waiting requests that a stopping node loses, or holds until it ends.
func TestStopRefusesWaitingRequestsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := newQueueLoad(&ratePacer{interval: 20 * time.Millisecond}, 1000)
		defer l.q.close()
		l.send(t.Context(), 200, 10, 2*time.Second)
		l.run(300 * time.Millisecond)
		stopped := l.q.now()
		l.q.drain()
		l.wait()
		is.Equal(l.q.now(), stopped)
		is.Equal(l.count(started)+l.count(refusedWith(status.CodeDraining)), 200)
		is.True(l.count(started) >= 10)
		l.send(t.Context(), 50, 10, 2*time.Second) // the node still takes requests
		l.wait()
		is.Equal(l.q.now(), stopped)
		is.Equal(l.q.stats().Waiting, 0)
	})
}

// Guards against requests that keep their places, or start, after their callers have left.
func TestRequestEndsWithItsCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := newQueueLoad(&ratePacer{interval: 10 * time.Millisecond}, 1000)
		defer l.q.close()
		leaving, leave := context.WithCancel(t.Context())
		l.send(leaving, 300, 50, 2*time.Second)
		l.send(t.Context(), 20, 10, 2*time.Second)
		before := l.count(started)
		leave()
		synctest.Wait()
		is.Equal(l.count(refusedWith(status.CodeCanceled)), 300-before)
		is.Equal(l.q.stats().Waiting, 20)
		l.wait()
		is.Equal(l.count(started), before+20) // their places were free
	})
}

// Guards against a node that was suspended for 2 s and starts requests whose callers have
// given up.
func TestSuspendedNodeStartsNothingLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := newQueueLoad(&ratePacer{interval: 20 * time.Millisecond}, 1000)
		defer l.q.close()
		l.send(t.Context(), 300, 10, 2*time.Second)
		l.run(200 * time.Millisecond)
		before := l.count(started)
		l.jump.Store(int64(2 * time.Second))
		l.send(t.Context(), 50, 10, 2*time.Second) // new load before the timer fires
		l.wait()
		is.Equal(l.count(func(e queueEnd) bool { return started(e) && e.Arrived < time.Second }), before)
		is.True(l.count(started) > before)
	})
}

// Guards against requests that wait on although their class has no objective any more,
// those that were prepared under the earlier configuration included.
func TestRemovedObjectiveEndsWaiting(t *testing.T) {
	for name, next := range map[string]*configset.Index{
		"no objective": indexWithObjective(0),
		"no class":     configset.NewIndex(configset.Set{Tenant: "t", Version: 2, Services: []configset.Service{{Name: "svc"}}}),
		"no service":   configset.NewIndex(configset.Set{Tenant: "t", Version: 2}),
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				l := newQueueLoad(&ratePacer{interval: 20 * time.Millisecond}, 1000)
				defer l.q.close()
				l.send(t.Context(), 200, 10, 2*time.Second)
				l.run(100 * time.Millisecond)
				before := l.count(started)
				at := l.q.now()
				l.q.setIndex(next)
				l.send(t.Context(), 50, 10, 2*time.Second)
				l.wait()
				is.Equal(l.q.now(), at)
				is.Equal(l.count(func(e queueEnd) bool { return e.Verdict == waiting.Bypass }), 250-before)
			})
		})
	}
}

// Guards against configurations that change often and end the waiting of classes that
// they leave as they are.
func TestOtherConfigurationKeepsWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := newQueueLoad(&ratePacer{interval: 20 * time.Millisecond}, 1000)
		defer l.q.close()
		l.send(t.Context(), 20, 10, 2*time.Second)
		for range 10 {
			time.Sleep(10 * time.Millisecond)
			l.q.setIndex(indexWithObjective(testObjective))
		}
		l.wait()
		is.Equal(l.count(started), 20)
	})
}

// Guards against a queue full of less important requests that keeps more important ones
// out, or exceeds its bound for them.
func TestImportantArrivalsDisplaceOthersAtCap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := newQueueLoad(&ratePacer{interval: 10 * time.Millisecond, free: time.Hour}, 50)
		defer l.q.close()
		l.send(t.Context(), 50, 10, 2*time.Second)
		is.Equal(l.q.stats().Waiting, 50)
		at := l.q.now()
		l.send(t.Context(), 80, 50, 2*time.Second)
		is.Equal(l.q.stats().Waiting, 50)
		is.Equal(l.count(func(e queueEnd) bool { return e.Importance == 10 && refusedWith(status.CodeOverloaded)(e) }), 50)
		is.Equal(l.count(func(e queueEnd) bool { return e.Importance == 50 }), 30) // above the bound
		is.Equal(l.count(func(e queueEnd) bool { return e.at != at || e.RetryAfter < 100*time.Millisecond }), 0)
		l.wait()
	})
}

// Guards against a request that is held past its deadline, or starts without the time
// that its chain needs, while demand is ten times the capacity.
func TestNoRequestIsHeldPastItsTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const need = 100 * time.Millisecond
		is := is.New(t)
		l := newQueueLoad(&ratePacer{interval: 20 * time.Millisecond}, 2000)
		defer l.q.close()
		for range 20 {
			l.q.finished(waitingKey, need)
		}
		rng := rand.New(rand.NewPCG(1, 2))
		for range 100 {
			l.send(t.Context(), 10, request.Importance(rng.IntN(3)*10), time.Duration(50+rng.IntN(3000))*time.Millisecond)
			time.Sleep(20 * time.Millisecond)
		}
		l.wait()
		is.Equal(len(l.ends), 1000)
		for _, e := range l.ends {
			due := min(e.Arrived+testObjective, e.Deadline)
			is.True(e.at <= due)
			if started(e) && e.at > e.Arrived {
				is.True(e.at <= due-need+startTolerance)
			}
		}
		is.True(l.count(started) >= 95)
	})
}

// BenchmarkEnter measures what the queue adds to a request that starts at once: with the
// measurement of demand, the level and the pace.
func BenchmarkEnter(b *testing.B) {
	cfg := DefaultConfig()
	cfg.Waiting.MaxWaiting = 100
	epoch := time.Now()
	now := func() time.Duration { return time.Since(epoch) }
	q := newPacedQueue(&cfg, newLevels(&cfg.Early, now))
	defer q.close()
	idx := indexWithObjective(testObjective)
	q.setIndex(idx)
	ctx := context.Background()
	b.ReportAllocs()
	for b.Loop() {
		at := now()
		q.enter(ctx, idx, waiting.Request{Key: waitingKey, Importance: 10, Arrived: at, Objective: testObjective, Deadline: at + time.Minute})
		q.finished(waitingKey, time.Millisecond)
	}
}
