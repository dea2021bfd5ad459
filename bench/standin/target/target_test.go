package target_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"peardrift/bench/standin/target"
)

// hugeServiceTime is a service time that exceeds every test's duration.
const hugeServiceTime = time.Hour

// hertzDateUpdater is the goroutine that hertz starts once per process to update
// the Date header; it never exits.
const hertzDateUpdater = "github.com/cloudwego/hertz/pkg/protocol.UpdateServerDate.func1"

func TestMain(m *testing.M) { goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction(hertzDateUpdater)) }

func start(t *testing.T, cfg target.Config) *target.Server {
	t.Helper()
	s := target.New(cfg)
	is.New(t).NoErr(s.Start())
	t.Cleanup(func() {
		is.New(t).NoErr(s.Close())
		http.DefaultClient.CloseIdleConnections()
	})
	return s
}

func do(ctx context.Context, method, url string, header map[string]string, body string) (int, string, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	for k, v := range header {
		req.Header.Set(k, v)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(b), err
}

// waitForCounters polls the target's counters until ok reports true.
func waitForCounters(t *testing.T, s *target.Server, ok func(target.Counters) bool) {
	t.Helper()
	for !ok(s.Counters()) {
		select {
		case <-t.Context().Done():
			t.Fatal("the counters did not reach the expected state")
		case <-time.After(time.Millisecond):
		}
	}
}

func TestAnswerContainsCallAnswers(t *testing.T) {
	is := is.New(t)
	archive := start(t, target.DefaultConfig("archive.khaosan"))
	cfg := target.DefaultConfig("feed.khaosan")
	cfg.Direct = map[string][]string{"archive.khaosan": {archive.URL()}}
	calls := []target.Call{
		{Service: "archive.khaosan", Path: "/items", Required: true, Key: true},
		{Service: "archive.khaosan", Path: "/photos"},
	}
	cfg.Routes = []target.Route{
		{Prefix: "/morning", Size: 5000, Calls: calls, Parallel: true},
		{Prefix: "/evening", Calls: calls},
	}
	feed := start(t, cfg)

	for _, path := range []string{"/morning", "/evening"} {
		code, body, err := do(t.Context(), "POST", feed.URL()+path, map[string]string{"X-Mark": "m1" + path}, "upload")
		is.NoErr(err)
		is.Equal(code, 200)
		a, err := target.Verify([]byte(body), "m1"+path)
		is.NoErr(err)
		is.Equal(len(a.Calls), 2)
		is.Equal(a.Calls[1].Answer.Path, "/photos")
		is.Equal(a.Received, int64(len("upload")))

		_, err = target.Verify([]byte(body), "m2")
		is.True(err != nil) // another request's answer
		_, err = target.Verify([]byte(body[:len(body)-1]), "m1"+path)
		is.True(err != nil) // a truncated answer
		_, err = target.Verify([]byte(strings.Replace(body, `"path":"/photos"`, `"path":"/items"`, 1)), "m1"+path)
		is.True(err != nil) // another call's answer
	}
	is.Equal(archive.Counters().Runs[" /"]["m1/morning/archive.khaosan/items"], 1)
	is.Equal(archive.Counters().Runs[" /"]["m1/morning"], 1)
}

func TestCallProbability(t *testing.T) {
	is := is.New(t)
	archive := start(t, target.DefaultConfig("archive.khaosan"))
	cfg := target.DefaultConfig("feed.khaosan")
	cfg.ServiceTime = time.Microsecond
	cfg.WorkFile = filepath.Join(t.TempDir(), "work")
	cfg.Direct = map[string][]string{"archive.khaosan": {archive.URL()}}
	cfg.Routes = []target.Route{{Prefix: "/", Calls: []target.Call{{Service: "archive.khaosan", Path: "/x", Probability: 0.5}}}}
	feed := start(t, cfg)
	const runs = 100
	for range runs {
		code, body, err := do(t.Context(), "GET", feed.URL()+"/?mark=a", nil, "")
		is.NoErr(err)
		is.Equal(code, 200)
		_, err = target.Verify([]byte(body), "a")
		is.NoErr(err)
	}
	made := feed.Counters().Calls // the random draws are seeded
	is.True(made > runs/4 && made < 3*runs/4)
	lines, err := os.ReadFile(cfg.WorkFile)
	is.NoErr(err)
	is.Equal(strings.Count(string(lines), "feed.khaosan\t/\ta\t"), runs)
}

func TestRequiredCallFailsRequest(t *testing.T) {
	for _, tc := range []struct {
		required bool
		attempts int
		code     int
	}{{true, 1, 502}, {false, 3, 200}} {
		is := is.New(t)
		empty := target.DefaultConfig("archive.khaosan")
		empty.Routes = nil
		archive := start(t, empty)
		cfg := target.DefaultConfig("feed.khaosan")
		cfg.Node = archive.URL()
		cfg.Routes = []target.Route{{Prefix: "/", Calls: []target.Call{
			{Service: "archive.khaosan", Path: "/x", Required: tc.required, Attempts: tc.attempts}}}}
		feed := start(t, cfg)
		code, _, err := do(t.Context(), "GET", feed.URL()+"/?mark=a", nil, "")
		is.NoErr(err)
		is.Equal(code, tc.code)
		is.Equal(feed.Counters().Calls, int64(tc.attempts))
	}
}

func TestRunCancellation(t *testing.T) {
	cfg := target.DefaultConfig("archive.khaosan")
	cfg.ServiceTime = hugeServiceTime
	t.Run("at the deadline", func(t *testing.T) {
		is := is.New(t)
		s := start(t, cfg)
		code, _, err := do(t.Context(), "GET", s.URL()+"/", map[string]string{"X-Request-Deadline-Ms": "5"}, "")
		is.NoErr(err)
		is.Equal(code, 504)
		is.Equal(s.Counters().Cancelled, int64(1))
	})
	t.Run("when the client goes", func(t *testing.T) {
		s := start(t, cfg)
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _, _, _ = do(ctx, "GET", s.URL()+"/", nil, "") }()
		waitForCounters(t, s, func(c target.Counters) bool { return c.InFlight == 1 })
		cancel()
		waitForCounters(t, s, func(c target.Counters) bool { return c.Cancelled == 1 })
	})
	t.Run("but not where cancellation is ignored", func(t *testing.T) {
		slow := cfg
		slow.IgnoreCancel = true
		slow.ServiceTime = 200 * time.Millisecond
		s := start(t, slow)
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _, _, _ = do(ctx, "GET", s.URL()+"/", nil, "") }()
		waitForCounters(t, s, func(c target.Counters) bool { return c.InFlight == 1 })
		cancel()
		waitForCounters(t, s, func(c target.Counters) bool { return c.FinishedLate == 1 })
	})
}

func TestNoFreeSlot(t *testing.T) {
	for _, tc := range []struct {
		name string
		set  func(*target.Config)
		shed bool
	}{
		{"shed", func(c *target.Config) { c.Shed = true }, true},
		{"queue", func(*target.Config) {}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			cfg := target.DefaultConfig("archive.khaosan")
			cfg.Slots, cfg.ServiceTime = 1, hugeServiceTime
			tc.set(&cfg)
			s := start(t, cfg)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			go func() { _, _, _ = do(ctx, "GET", s.URL()+"/", nil, "") }()
			waitForCounters(t, s, func(c target.Counters) bool { return c.InFlight == 1 })
			if tc.shed {
				code, _, err := do(ctx, "GET", s.URL()+"/", nil, "")
				is.NoErr(err)
				is.Equal(code, 503)
				is.Equal(s.Counters().Shed, int64(1))
				return
			}
			go func() { _, _, _ = do(ctx, "GET", s.URL()+"/", nil, "") }()
			waitForCounters(t, s, func(c target.Counters) bool { return c.Queued == 1 })
			is.Equal(s.Counters().Started, int64(1))
		})
	}
}

func TestDrainFinishesWorkInFlight(t *testing.T) {
	is := is.New(t)
	cfg := target.DefaultConfig("archive.khaosan")
	cfg.ServiceTime = 100 * time.Millisecond
	s := start(t, cfg)
	var wg sync.WaitGroup
	wg.Go(func() {
		code, _, err := do(t.Context(), "GET", s.URL()+"/", nil, "")
		is.NoErr(err)
		is.Equal(code, 200)
	})
	waitForCounters(t, s, func(c target.Counters) bool { return c.InFlight == 1 })
	code, _, err := do(t.Context(), "POST", s.URL()+"/control/drain", nil, "")
	is.NoErr(err)
	is.Equal(code, 204)
	for _, path := range []string{"/healthz", "/"} {
		code, _, err := do(t.Context(), "GET", s.URL()+path, nil, "")
		is.NoErr(err)
		is.Equal(code, 503)
	}
	wg.Wait()
	is.Equal(s.Counters().AfterDrain, int64(1))
}

func TestReportedLoad(t *testing.T) {
	fixed := 0.25
	for _, tc := range []struct {
		name string
		set  func(*target.Config)
		want float64
	}{
		{"true", func(*target.Config) {}, 0.5},
		{"lying", func(c *target.Config) { c.FixedUtilization = &fixed }, 0.25},
		{"lagging", func(c *target.Config) { c.LoadLag = hugeServiceTime }, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			cfg := target.DefaultConfig("archive.khaosan")
			cfg.Slots, cfg.ServiceTime = 2, hugeServiceTime
			tc.set(&cfg)
			s := start(t, cfg)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			go func() { _, _, _ = do(ctx, "GET", s.URL()+"/", nil, "") }()
			waitForCounters(t, s, func(c target.Counters) bool { return c.InFlight == 1 })
			_, body, err := do(ctx, "GET", s.URL()+"/load", nil, "")
			is.NoErr(err)
			var got struct {
				Slots       int     `json:"slots"`
				Utilization float64 `json:"utilization"`
			}
			is.NoErr(json.Unmarshal([]byte(body), &got))
			is.Equal(got.Utilization, tc.want)
			is.Equal(got.Slots, 2)
		})
	}
}

// A request whose mark contains the crash mark resets the connections of all
// requests in flight, as the crash of a process does.
func TestCrashBreaksAllConnections(t *testing.T) {
	is := is.New(t)
	cfg := target.DefaultConfig("archive.khaosan")
	cfg.Routes = []target.Route{{Prefix: "/slow", ServiceTime: hugeServiceTime}, {Prefix: "/", CrashMark: "poison"}}
	s := start(t, cfg)
	var wg sync.WaitGroup
	wg.Go(func() {
		_, _, err := do(t.Context(), "POST", s.URL()+"/slow", nil, "bystander")
		is.True(err != nil)
	})
	waitForCounters(t, s, func(c target.Counters) bool { return c.InFlight == 1 })
	_, _, err := do(t.Context(), "POST", s.URL()+"/x", nil, "a poison body")
	is.True(err != nil)
	wg.Wait()
	code, _, err := do(t.Context(), "GET", s.URL()+"/x", nil, "") // restarted
	is.NoErr(err)
	is.Equal(code, 200)
	is.Equal(s.Counters().Crashes, int64(1))
}

// A blackholed connection drops bytes in both directions without a FIN, as when a
// middlebox loses its state: calls on it never end, calls on new connections do.
func TestBlackholedConnectionsCarryNothing(t *testing.T) {
	is := is.New(t)
	s := start(t, target.DefaultConfig("archive.khaosan"))
	code, _, err := do(t.Context(), "GET", s.URL()+"/", nil, "")
	is.NoErr(err)
	is.Equal(code, 200)
	s.Blackhole()

	ctx, cancel := context.WithCancel(t.Context())
	var reused bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:      func(i httptrace.GotConnInfo) { reused = i.Reused },
		WroteRequest: func(httptrace.WroteRequestInfo) { cancel() },
	})
	_, _, err = do(ctx, "GET", s.URL()+"/", nil, "")
	is.True(err != nil)
	is.True(reused)
	is.Equal(s.Counters().Started, int64(1)) // the request did not arrive

	code, _, err = do(t.Context(), "GET", s.URL()+"/", nil, "")
	is.NoErr(err)
	is.Equal(code, 200)
}

// Guards against rejections that are not marked as not run, and against counting them as
// runs: tests of resends would then test something else.
func TestRejectedRequestsDoNotRun(t *testing.T) {
	is := is.New(t)
	s := start(t, target.DefaultConfig("archive.khaosan"))
	reject := func(share string) {
		code, _, err := do(t.Context(), "POST", s.URL()+"/control/reject", map[string]string{"Content-Type": "application/json"}, `{"share":`+share+`}`)
		is.NoErr(err)
		is.Equal(code, http.StatusNoContent)
	}
	reject("1")
	resp, err := http.Get(s.URL() + "/")
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.Equal(resp.Header.Get(target.HeaderNotExecuted), "1")
	is.Equal(s.Counters().Started, int64(0))
	reject("0")
	code, _, err := do(t.Context(), "GET", s.URL()+"/", nil, "")
	is.NoErr(err)
	is.Equal(code, http.StatusOK)
}
