package hertzhttp

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Symptom: a call runs past its deadline, or ends before it. Events: its
// deadline is set at once or after the watcher has passed the request, and is
// short or long. Cause: a deadline that neither the watcher nor a timer of its
// own looks after.
func TestDeadlineEndsARequestToTheMillisecond(t *testing.T) {
	for name, tt := range map[string]struct{ after, left time.Duration }{
		"short":                  {0, 3 * time.Millisecond},
		"past":                   {0, -time.Second},
		"as long as the watcher": {0, watchAfter},
		"just beyond a look":     {0, watchAfter + watchEvery},
		"long":                   {0, 5 * time.Second},
		"set late":               {time.Second, 300 * time.Millisecond},
		"set late and past":      {time.Second, -time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var w watcher
				for range 20 { // before it in the queue, to move the looks about
					time.Sleep(time.Millisecond)
					w.add(new(watched))
				}
				r := &watched{since: time.Now()}
				r.scope.Context = t.Context()
				w.add(r)
				time.Sleep(tt.after)
				began := time.Now()
				ctx, cancel := WithDeadline(&r.scope, began.Add(tt.left))
				defer cancel()
				<-ctx.Done()
				is.Equal(time.Since(began), max(tt.left, 0))
				is.Equal(ctx.Err(), context.DeadlineExceeded)
			})
		})
	}
}

// Symptom: a connection is closed under a later call, or stays open for a call
// that was given up. Events: a request ends before, after and while functions
// wait for its end. Cause: stop's word is not what happened.
func TestStopSaysWhetherTheFunctionRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &scope{Context: t.Context()}
		var ran [4]int
		var stops [4]func() bool
		for i := range 3 {
			stops[i] = AfterFunc(s, func() { ran[i]++ })
		}
		is.True(stops[1]())
		is.True(!stops[1]()) // again
		s.cancel()
		s.expire() // it has ended already
		stops[3] = AfterFunc(s, func() { ran[3]++ })
		synctest.Wait()
		is.Equal(ran, [4]int{1, 0, 1, 1})
		for _, stop := range stops {
			is.True(!stop())
		}
		is.Equal(s.Err(), context.Canceled)
	})
}

// Symptom: work under a context made from a request's goes on when the request
// has ended. Events: the standard library's contexts are made from a scope,
// which ends. Cause: they don't hear of it.
func TestContextsMadeFromARequestsEndWithIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &scope{Context: context.WithValue(t.Context(), is, "kept")}
		child, cancel := context.WithTimeout(s, time.Hour)
		defer cancel()
		apart, done := context.WithCancel(context.WithoutCancel(s))
		defer done()
		is.Equal(child.Value(is), "kept")
		s.cancel()
		synctest.Wait()
		is.Equal(child.Err(), context.Canceled)
		is.NoErr(apart.Err())
		<-s.Done()
	})
}
