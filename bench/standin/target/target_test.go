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

// never is a service time that no test waits for.
const never = time.Hour

// hertzDate is hertz's one goroutine per process for the Date header; it has
// no end.
const hertzDate = "github.com/cloudwego/hertz/pkg/protocol.UpdateServerDate.func1"

func TestMain(m *testing.M) { goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction(hertzDate)) }

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

// until waits for a state that the target reaches by itself.
func until(t *testing.T, s *target.Server, ok func(target.Counters) bool) {
	t.Helper()
	for !ok(s.Counters()) {
		select {
		case <-t.Context().Done():
			t.Fatal("not reached")
		case <-time.After(time.Millisecond):
		}
	}
}

func TestAnswerIncludesWholeAnswersOfCalls(t *testing.T) {
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
		is.True(err != nil) // a fragment
		_, err = target.Verify([]byte(strings.Replace(body, `"path":"/photos"`, `"path":"/items"`, 1)), "m1"+path)
		is.True(err != nil) // a piece of another call's answer
	}
	is.Equal(archive.Counters().Runs[" /"]["m1/morning/archive.khaosan/items"], 1)
	is.Equal(archive.Counters().Runs[" /"]["m1/morning"], 1)
}

func TestCallsWithAChance(t *testing.T) {
	is := is.New(t)
	archive := start(t, target.DefaultConfig("archive.khaosan"))
	cfg := target.DefaultConfig("feed.khaosan")
	cfg.ServiceTime = time.Microsecond
	cfg.WorkFile = filepath.Join(t.TempDir(), "work")
	cfg.Direct = map[string][]string{"archive.khaosan": {archive.URL()}}
	cfg.Routes = []target.Route{{Prefix: "/", Calls: []target.Call{{Service: "archive.khaosan", Path: "/x", Chance: 0.5}}}}
	feed := start(t, cfg)
	const runs = 100
	for range runs {
		code, body, err := do(t.Context(), "GET", feed.URL()+"/?mark=a", nil, "")
		is.NoErr(err)
		is.Equal(code, 200)
		_, err = target.Verify([]byte(body), "a")
		is.NoErr(err)
	}
	made := feed.Counters().Calls // the draws are seeded
	is.True(made > runs/4 && made < 3*runs/4)
	lines, err := os.ReadFile(cfg.WorkFile)
	is.NoErr(err)
	is.Equal(strings.Count(string(lines), "feed.khaosan\t/\ta\t"), runs)
}

func TestRequiredCallFailsTheWhole(t *testing.T) {
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

func TestWorkStops(t *testing.T) {
	cfg := target.DefaultConfig("archive.khaosan")
	cfg.ServiceTime = never
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
		until(t, s, func(c target.Counters) bool { return c.InFlight == 1 })
		cancel()
		until(t, s, func(c target.Counters) bool { return c.Cancelled == 1 })
	})
	t.Run("but not where cancellation is ignored", func(t *testing.T) {
		slow := cfg
		slow.IgnoreCancel = true
		slow.ServiceTime = 200 * time.Millisecond
		s := start(t, slow)
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _, _, _ = do(ctx, "GET", s.URL()+"/", nil, "") }()
		until(t, s, func(c target.Counters) bool { return c.InFlight == 1 })
		cancel()
		until(t, s, func(c target.Counters) bool { return c.Useless == 1 })
	})
}

func TestFullSlots(t *testing.T) {
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
			cfg.Slots, cfg.ServiceTime = 1, never
			tc.set(&cfg)
			s := start(t, cfg)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			go func() { _, _, _ = do(ctx, "GET", s.URL()+"/", nil, "") }()
			until(t, s, func(c target.Counters) bool { return c.InFlight == 1 })
			if tc.shed {
				code, _, err := do(ctx, "GET", s.URL()+"/", nil, "")
				is.NoErr(err)
				is.Equal(code, 503)
				is.Equal(s.Counters().Shed, int64(1))
				return
			}
			go func() { _, _, _ = do(ctx, "GET", s.URL()+"/", nil, "") }()
			until(t, s, func(c target.Counters) bool { return c.Queued == 1 })
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
	until(t, s, func(c target.Counters) bool { return c.InFlight == 1 })
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

func TestLoadReport(t *testing.T) {
	lie := 0.25
	for _, tc := range []struct {
		name string
		set  func(*target.Config)
		want float64
	}{
		{"true", func(*target.Config) {}, 0.5},
		{"lying", func(c *target.Config) { c.LoadLie = &lie }, 0.25},
		{"lagging", func(c *target.Config) { c.LoadLag = never }, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			cfg := target.DefaultConfig("archive.khaosan")
			cfg.Slots, cfg.ServiceTime = 2, never
			tc.set(&cfg)
			s := start(t, cfg)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			go func() { _, _, _ = do(ctx, "GET", s.URL()+"/", nil, "") }()
			until(t, s, func(c target.Counters) bool { return c.InFlight == 1 })
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

// Symptom: a marked request breaks the target, and others in flight with it.
// Events: one call in flight, then one whose mark contains the crash mark.
// Cause: the crash ends the process; its connections break for all.
func TestCrashBreaksAllConnections(t *testing.T) {
	is := is.New(t)
	cfg := target.DefaultConfig("archive.khaosan")
	cfg.Routes = []target.Route{{Prefix: "/slow", ServiceTime: never}, {Prefix: "/", CrashMark: "poison"}}
	s := start(t, cfg)
	var wg sync.WaitGroup
	wg.Go(func() {
		_, _, err := do(t.Context(), "POST", s.URL()+"/slow", nil, "bystander")
		is.True(err != nil)
	})
	until(t, s, func(c target.Counters) bool { return c.InFlight == 1 })
	_, _, err := do(t.Context(), "POST", s.URL()+"/x", nil, "a poison body")
	is.True(err != nil)
	wg.Wait()
	code, _, err := do(t.Context(), "GET", s.URL()+"/x", nil, "") // restarted
	is.NoErr(err)
	is.Equal(code, 200)
	is.Equal(s.Counters().Crashes, int64(1))
}

// Symptom: calls on an old connection never end, calls on new ones do.
// Events: a connection is used, something between the ends loses track of it.
// Cause: bytes are dropped both ways, and no end of stream is seen.
func TestSilentConnection(t *testing.T) {
	is := is.New(t)
	s := start(t, target.DefaultConfig("archive.khaosan"))
	code, _, err := do(t.Context(), "GET", s.URL()+"/", nil, "")
	is.NoErr(err)
	is.Equal(code, 200)
	s.Silence()

	ctx, cancel := context.WithCancel(t.Context())
	var reused bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:      func(i httptrace.GotConnInfo) { reused = i.Reused },
		WroteRequest: func(httptrace.WroteRequestInfo) { cancel() },
	})
	_, _, err = do(ctx, "GET", s.URL()+"/", nil, "")
	is.True(err != nil)
	is.True(reused)
	is.Equal(s.Counters().Started, int64(1)) // it never arrived

	code, _, err = do(t.Context(), "GET", s.URL()+"/", nil, "")
	is.NoErr(err)
	is.Equal(code, 200)
}
