package hertzhttp

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// A request must end exactly at its deadline, whether the deadline is short or
// long, set at once or after the watcher has passed the request: either the
// watcher or a timer always covers it.
func TestRequestEndsExactlyAtItsDeadline(t *testing.T) {
	for name, tt := range map[string]struct{ after, left time.Duration }{
		"short":                    {0, 3 * time.Millisecond},
		"past":                     {0, -time.Second},
		"equal to the watch delay": {0, watchDelay},
		"just after a scan":        {0, watchDelay + minWatchInterval},
		"long":                     {0, 5 * time.Second},
		"set after the scan":       {time.Second, 300 * time.Millisecond},
		"set after the scan, past": {time.Second, -time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var w disconnectWatcher
				for range 20 { // earlier entries, to shift the scan times
					time.Sleep(time.Millisecond)
					w.add(new(watchedRequest))
				}
				r := &watchedRequest{start: time.Now()}
				r.ctx.Context = t.Context()
				w.add(r)
				time.Sleep(tt.after)
				start := time.Now()
				ctx, cancel := WithDeadline(&r.ctx, start.Add(tt.left))
				defer cancel()
				<-ctx.Done()
				is.Equal(time.Since(start), max(tt.left, 0))
				is.Equal(ctx.Err(), context.DeadlineExceeded)
			})
		})
	}
}

// The result of stop must match whether the function runs. Otherwise a connection
// is closed under a later call, or stays open for a canceled one.
func TestStopReportsWhetherFunctionRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &requestContext{Context: t.Context()}
		var ran [4]int
		var stops [4]func() bool
		for i := range 3 {
			stops[i] = AfterFunc(s, func() { ran[i]++ })
		}
		is.True(stops[1]())
		is.True(!stops[1]()) // second call
		s.cancel()
		s.expire() // already ended
		stops[3] = AfterFunc(s, func() { ran[3]++ })
		synctest.Wait()
		is.Equal(ran, [4]int{1, 0, 1, 1})
		for _, stop := range stops {
			is.True(!stop())
		}
		is.Equal(s.Err(), context.Canceled)
	})
}

// Standard library contexts derived from a request's context must end with it, or
// work under them continues after the request.
func TestDerivedContextsEndWithRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &requestContext{Context: context.WithValue(t.Context(), is, "kept")}
		child, cancel := context.WithTimeout(s, time.Hour)
		defer cancel()
		detached, done := context.WithCancel(context.WithoutCancel(s))
		defer done()
		is.Equal(child.Value(is), "kept")
		s.cancel()
		synctest.Wait()
		is.Equal(child.Err(), context.Canceled)
		is.NoErr(detached.Err())
		<-s.Done()
	})
}
