package waiting

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"

	"peardrift/internal/core/request"
)

// filled returns a queue with n waiting requests of 16 classes and 4 importances.
func filled(p *fakePacer, n int) *Queue {
	q := newQueue(p, n)
	for i := range n {
		q.Arrive(0, benchRequest(i, 0), nil)
	}
	return q
}

var benchClasses = func() (cs [16]request.Class) {
	for i := range cs {
		cs[i] = request.Class(fmt.Sprint("class-", i))
	}
	return cs
}()

func benchRequest(i int, now time.Duration) Request {
	r := arrival(Ticket(i), request.Importance(i%4), now, time.Hour+time.Duration(i%97)*ms)
	r.Key.Class = benchClasses[i/4%16]
	r.Deadline = now + 2*time.Hour
	r.Stated = time.Duration(2000-i%2*i%500) * ms // every other one states less
	return r
}

// BenchmarkWaitAndStart measures an arrival that waits and the start of another request,
// with the polls of 64 groups that become due in between.
func BenchmarkWaitAndStart(b *testing.B) {
	const n = 2000
	p := &fakePacer{next: never}
	q := filled(p, n+1)
	var out []Action
	now := time.Duration(0)
	b.ReportAllocs()
	for i := n; b.Loop(); i++ {
		now += 2 * ms
		p.tokens = 0
		_, out = q.Arrive(now, benchRequest(i, now), out[:0])
		p.tokens = 1
		out = q.Tick(max(now, q.Next()), out)
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(2*b.N), "ns/decision")
}

// BenchmarkRefuseAtCap measures an arrival above the cap.
func BenchmarkRefuseAtCap(b *testing.B) {
	p := &fakePacer{next: never}
	q := filled(p, 2000)
	var out []Action
	b.ReportAllocs()
	for i := 2000; b.Loop(); i++ {
		_, out = q.Arrive(0, benchRequest(i, 0), out[:0])
	}
}

// BenchmarkStartAtOnce measures a request that doesn't wait, with its end.
func BenchmarkStartAtOnce(b *testing.B) {
	p := &fakePacer{}
	q := newQueue(p, 2000)
	now := time.Duration(0)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now += ms
		p.tokens = 1
		r := benchRequest(i, now)
		q.Arrive(now, r, nil)
		q.Finished(now, r.Key, 30*ms)
	}
}

// Guards against waiting requests that take more memory than their bound allows for.
func TestMemoryOfWaitingRequest(t *testing.T) {
	const n = 2000
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	q := filled(&fakePacer{}, n)
	runtime.GC()
	runtime.ReadMemStats(&after)
	is := is.New(t)
	is.Equal(q.Stats().Waiting, n)
	is.True(int64(after.HeapAlloc)-int64(before.HeapAlloc) < n*RequestBytes/2) // the data plane holds as much
}
