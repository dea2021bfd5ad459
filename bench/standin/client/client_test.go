package client

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"peardrift/bench/standin/target"
	"peardrift/internal/status"
	"peardrift/internal/wire"
)

// hertzDateUpdater is the goroutine that hertz starts once per process to update
// the Date header; it never exits.
const hertzDateUpdater = "github.com/cloudwego/hertz/pkg/protocol.UpdateServerDate.func1"

func TestMain(m *testing.M) { goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction(hertzDateUpdater)) }

// runOneRequest sends a single request of class c to h and returns its attempts
// and the class's counters.
func runOneRequest(t *testing.T, c Class, h http.HandlerFunc) ([]Attempt, *Stats) {
	t.Helper()
	srv := httptest.NewServer(h)
	defer srv.Close()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var mu sync.Mutex
	var got []Attempt
	c.Name, c.Workers, c.Requests, c.Host, c.Path = "reads", 1, 1, "feed.khaosan", "/morning"
	report, err := Run(ctx, Config{URLs: []string{srv.URL}, Duration: time.Hour, Classes: []Class{c},
		Observe: func(a Attempt) {
			mu.Lock()
			defer mu.Unlock()
			got = append(got, a)
		}})
	is.New(t).NoErr(err)
	return got, report["reads"]
}

func answerTo(r *http.Request) target.Answer {
	return target.Answer{Service: r.Host, Path: r.URL.Path, RequestMark: r.Header.Get("X-Mark"), Size: 100}
}

func TestResults(t *testing.T) {
	respondWith := func(f func(target.Answer) []byte) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) { _, _ = w.Write(f(answerTo(r))) }
	}
	respondStatus := func(code int, outcome string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			if outcome != "" {
				w.Header().Set(wire.HeaderOutcome, outcome)
			}
			w.WriteHeader(code)
		}
	}
	for _, tc := range []struct {
		name string
		h    http.HandlerFunc
		want Result
	}{
		{"whole", respondWith(target.Answer.Encode), Completed},
		{"fragment", respondWith(func(a target.Answer) []byte { return a.Encode()[:90] }), Partial},
		{"another's", respondWith(func(a target.Answer) []byte { a.RequestMark = "x"; return a.Encode() }), Wrong},
		{"another path's", respondWith(func(a target.Answer) []byte { a.Path = "/x"; return a.Encode() }), Wrong},
		{"one byte", respondWith(func(a target.Answer) []byte { b := a.Encode(); b[len(b)-3] ^= 1; return b }), Wrong},
		{"broken", func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Length", "5000")
			_, _ = w.Write(answerTo(r).Encode())
			panic(http.ErrAbortHandler)
		}, Unknown},
		{"node refuses", respondStatus(503, "refused"), Refused},
		{"node doesn't know", respondStatus(503, "unknown"), Unknown},
		{"target sheds", respondStatus(503, ""), Refused},
		{"target fails", respondStatus(500, ""), Failed},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			got, stats := runOneRequest(t, Class{}, tc.h)
			is.Equal(len(got), int(stats.Sent))
			is.Equal(got[0].Result, tc.want)
			is.Equal(stats.ByResult[tc.want], stats.Sent)
			is.Equal(stats.Latency.TotalCount(), stats.ByResult[Completed])
		})
	}
}

func TestRetriesKeepMarkAndKey(t *testing.T) {
	is := is.New(t)
	var keys []string
	got, stats := runOneRequest(t, Class{Method: "POST", Key: true, Attempts: 3, Body: 10}, func(w http.ResponseWriter, r *http.Request) {
		keys = append(keys, r.Header.Get("Idempotency-Key"))
		if len(keys) < 3 {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		a := answerTo(r)
		a.Received = r.ContentLength
		_, _ = w.Write(a.Encode())
	})
	is.Equal(len(slices.Compact(slices.Clone(keys))), 1)
	is.Equal(keys[0], "key-"+got[0].RequestMark)
	is.Equal([]bool{got[0].Final, got[1].Final, got[2].Final}, []bool{false, false, true})
	is.Equal(stats.ByResult[Completed], int64(1))
	is.Equal(stats.Attempts, int64(3))
}

func TestRetryDelay(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 1))
	is.Equal(Class{}.retryDelay(1, time.Hour, rng), time.Duration(0))
	is.Equal(Class{HonourRetryAfter: true}.retryDelay(1, time.Hour, rng), time.Hour)
	c := Class{Backoff: time.Second}
	var sum time.Duration
	const draws = 10_000
	for range draws {
		d := c.retryDelay(3, 0, rng)
		is.True(d >= 0 && d < 8*time.Second)
		sum += d
	}
	mean := sum / draws
	is.True(mean > 3900*time.Millisecond && mean < 4100*time.Millisecond)
}

func TestRetryDelayIsCapped(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 1))
	c := Class{Backoff: time.Second, MaxBackoff: 3 * time.Second}
	var most time.Duration
	for range 1000 {
		most = max(most, c.retryDelay(9, 0, rng))
	}
	is.True(most > 2*time.Second && most < 3*time.Second)
}

func TestNoAttemptAfterRetryWindow(t *testing.T) {
	is := is.New(t)
	refuse := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }
	got, stats := runOneRequest(t, Class{Attempts: 1000, Backoff: time.Hour, RetryWindow: time.Minute}, refuse)
	is.Equal(len(got), 1)
	is.True(got[0].Final)
	is.Equal(stats.ByResult[Refused], int64(1))
}

func TestRefusedConnectionReportsConnectFailed(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(ln.Close())
	var got Attempt
	_, err = Run(t.Context(), Config{URLs: []string{"http://" + ln.Addr().String()}, Observe: func(a Attempt) { got = a },
		Classes: []Class{{Name: "reads", ArrivalTimes: []time.Duration{0}}}})
	is.NoErr(err)
	is.Equal(got.Code, string(status.CodeConnectFailed))
	is.Equal(got.Result, Unknown)
}

func TestArrivalTimesReplacePhases(t *testing.T) {
	is := is.New(t)
	times := []time.Duration{time.Second, 3 * time.Second}
	c := Class{ArrivalTimes: times, Phases: []Phase{{Duration: time.Second, Rate: 1000}}}
	is.Equal(slices.Collect(c.arrivals(rand.New(rand.NewPCG(1, 1)))), times)
}

func TestArrivals(t *testing.T) {
	is := is.New(t)
	phases := []Phase{{time.Minute, 100}, {time.Minute, 0}, {time.Minute, 1000}}
	var count [3]int
	last := time.Duration(0)
	for at := range arrivals(phases, rand.New(rand.NewPCG(1, 1))) {
		is.True(at >= last)
		last = at
		count[at/time.Minute]++
	}
	is.True(count[0] > 5800 && count[0] < 6200)
	is.Equal(count[1], 0)
	is.True(count[2] > 59_000 && count[2] < 61_000)
}

func TestOpenLoopAgainstTarget(t *testing.T) {
	is := is.New(t)
	cfg := target.DefaultConfig("feed.khaosan")
	cfg.Slots = 1000
	s := target.New(cfg)
	is.NoErr(s.Start())
	defer s.Close()
	report, err := Run(t.Context(), Config{URLs: []string{s.URL()}, Seed: 7, Classes: []Class{
		{Name: "reads", Host: "feed.khaosan", Path: "/morning", Phases: []Phase{{200 * time.Millisecond, 500}}},
		{Name: "uploads", Host: "feed.khaosan", Path: "/up", Method: "POST", Key: true, Body: 1 << 20,
			Phases: []Phase{{200 * time.Millisecond, 50}}},
	}})
	is.NoErr(err)
	for _, st := range report {
		is.True(st.Sent > 0)
		is.Equal(st.ByResult[Completed], st.Sent)
	}
	is.Equal(s.Counters().Finished, report["reads"].Sent+report["uploads"].Sent)
	is.Equal(s.Counters().RepeatedKeys(" /"), nil)
}

// Guards against a read that is sent again without being counted when a kept connection
// breaks: it may have run, and the answer to the second send hides that.
func TestReadOnBrokenConnectionIsSentOnce(t *testing.T) {
	is := is.New(t)
	var received atomic.Int32
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		is.Equal(r.ContentLength, int64(0))
		if received.Add(1) == 1 {
			_, _ = w.Write(answerTo(r).Encode())
			return
		}
		conn, _, err := w.(http.Hijacker).Hijack()
		is.NoErr(err)
		_ = conn.Close()
	}))
	defer srv.Close()
	c := Class{Name: "reads", Workers: 1, Requests: 2, Host: "feed.khaosan", Path: "/morning"}
	report, err := Run(t.Context(), Config{URLs: []string{srv.URL}, Duration: time.Hour, Classes: []Class{c}})
	is.NoErr(err)
	is.Equal(report["reads"].ByResult[Completed], int64(1))
	is.Equal(report["reads"].ByResult[Unknown], int64(1))
	is.Equal(received.Load(), int32(2))
}
