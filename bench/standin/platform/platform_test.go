package platform_test

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"peardrift/bench/standin/platform"
	"peardrift/internal/adapter/awsobject"
	"peardrift/internal/adapter/awstable"
	"peardrift/internal/adapter/awstable/awscall"
	"peardrift/internal/port"
)

// hertzDateUpdater is the goroutine that hertz starts once per process to update
// the Date header; it never exits.
const hertzDateUpdater = "github.com/cloudwego/hertz/pkg/protocol.UpdateServerDate.func1"

func TestMain(m *testing.M) { goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction(hertzDateUpdater)) }

type env struct {
	*platform.Server
	table *awstable.Table
	store *awsobject.Store
}

func start(t *testing.T) env {
	t.Helper()
	s := platform.New()
	is.New(t).NoErr(s.Start("127.0.0.1:0"))
	t.Cleanup(func() { is.New(t).NoErr(s.Close()) })
	cfg := config(s.URL())
	e := env{s, awstable.New(cfg, "peardrift"), awsobject.New(cfg, "sets")}
	t.Cleanup(e.table.Close)
	t.Cleanup(e.store.Close)
	return e
}

func config(url string) awscall.Config {
	cfg := awscall.DefaultConfig()
	cfg.Endpoint, cfg.AccessKey, cfg.SecretKey = url, "access", "secret"
	return cfg
}

func put(key string, ifVersion int64, token string) port.Put {
	return port.Put{
		Item:      port.Item{Key: key, Version: ifVersion + 1, Value: []byte("v" + token), Token: token},
		IfVersion: ifVersion,
	}
}

func TestTable(t *testing.T) {
	is, e := is.New(t), start(t)
	_, err := e.table.Get(t.Context(), "head")
	is.True(errors.Is(err, port.ErrNotFound))

	p := put("head", 0, "a")
	p.Item.Expires = time.Unix(1000, 1)
	is.NoErr(e.table.Put(t.Context(), p))
	got, err := e.table.Get(t.Context(), "head")
	is.NoErr(err)
	p.Item.Expires = time.Unix(1001, 0) // rounded up, so that rows never expire early
	is.Equal(got, p.Item)

	is.True(errors.Is(e.table.Put(t.Context(), put("head", 0, "b")), port.ErrConditionFailed))
	is.True(errors.Is(e.table.Put(t.Context(), put("head", 2, "b")), port.ErrConditionFailed))
	is.True(errors.Is(e.table.Put(t.Context(), put("none", 1, "b")), port.ErrConditionFailed))
	is.NoErr(e.table.Put(t.Context(), put("head", 1, "b")))

	is.Equal(e.Counters(), platform.Counters{Reads: 2, Writes: 5, Items: 5, Conflicts: 3})
}

func TestPutAllIsAllOrNothing(t *testing.T) {
	is, e := is.New(t), start(t)
	is.NoErr(e.table.PutAll(t.Context(), []port.Put{put("a", 0, "1"), put("b", 0, "1")}))
	err := e.table.PutAll(t.Context(), []port.Put{put("c", 0, "2"), put("b", 0, "2")})
	is.True(errors.Is(err, port.ErrConditionFailed))
	_, err = e.table.Get(t.Context(), "c")
	is.True(errors.Is(err, port.ErrNotFound))
	err = e.table.PutAll(t.Context(), []port.Put{put("d", 0, "2"), put("d", 0, "2")})
	is.True(errors.Is(err, port.ErrUnavailable)) // duplicate row: the whole transaction is rejected
}

func TestConcurrentConditionalPutsHaveOneWinner(t *testing.T) {
	const writers = 16
	is, e := is.New(t), start(t)
	errs := make([]error, writers)
	var wg sync.WaitGroup
	for i := range errs {
		wg.Go(func() { errs[i] = e.table.Put(t.Context(), put("head", 0, string(rune('a'+i)))) })
	}
	wg.Wait()
	won := 0
	for _, err := range errs {
		if err == nil {
			won++
			continue
		}
		is.True(errors.Is(err, port.ErrConditionFailed))
	}
	is.Equal(won, 1)
}

func TestObjects(t *testing.T) {
	is, e := is.New(t), start(t)
	_, err := e.store.Get(t.Context(), "set-1")
	is.True(errors.Is(err, port.ErrNotFound))
	body := bytes.Repeat([]byte("x"), 1<<20)
	is.NoErr(e.store.Put(t.Context(), "set-1", body))
	is.NoErr(e.store.Put(t.Context(), "set-1", body))
	got, err := e.store.Get(t.Context(), "set-1")
	is.NoErr(err)
	is.True(bytes.Equal(got, body))
	err = e.store.Put(t.Context(), "set-2", make([]byte, awsobject.MaxObject+1))
	is.True(err != nil)
}

func TestConditionalObject(t *testing.T) {
	is, e := is.New(t), start(t)
	for _, want := range []int{http.StatusOK, http.StatusPreconditionFailed} {
		req, err := http.NewRequestWithContext(t.Context(), "PUT", e.URL()+"/sets/one", strings.NewReader("x"))
		is.NoErr(err)
		req.Header.Set("If-None-Match", "*")
		resp, err := http.DefaultClient.Do(req)
		is.NoErr(err)
		is.NoErr(resp.Body.Close())
		is.Equal(resp.StatusCode, want)
	}
	http.DefaultClient.CloseIdleConnections()
}

// Guards against the adapters reporting a failed write as a lost condition,
// reporting an applied write as not applied, or applying it twice by retrying
// internally when the platform fails during a write.
func TestFaults(t *testing.T) {
	for _, tc := range []struct {
		name    string
		faults  platform.Faults
		write   error
		object  error
		read    error // of a row written before the fault
		applied bool
	}{
		{"none", platform.Faults{}, nil, nil, nil, true},
		{"down", platform.Faults{Down: true}, port.ErrAmbiguous, port.ErrAmbiguous, port.ErrUnavailable, false},
		{"throttled", platform.Faults{Throttle: true}, port.ErrUnavailable, port.ErrAmbiguous, port.ErrUnavailable, false},
		{"writes refused", platform.Faults{RefuseWrites: true}, port.ErrUnavailable, port.ErrUnavailable, nil, false},
		{"answer lost", platform.Faults{DropReplyEvery: 1}, port.ErrAmbiguous, port.ErrAmbiguous, nil, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is, e := is.New(t), start(t)
			is.NoErr(e.table.Put(t.Context(), put("old", 0, "old")))
			e.SetFaults(tc.faults)
			is.True(errors.Is(e.table.Put(t.Context(), put("new", 0, "new")), tc.write))
			is.True(errors.Is(e.table.PutAll(t.Context(), []port.Put{put("new2", 0, "new")}), tc.write))
			is.True(errors.Is(e.store.Put(t.Context(), "new", []byte("x")), tc.object))
			_, err := e.table.Get(t.Context(), "old")
			is.True(errors.Is(err, tc.read))

			e.SetFaults(platform.Faults{})
			got, err := e.table.Get(t.Context(), "new")
			is.Equal(err == nil, tc.applied)
			is.Equal(got.Token == "new", tc.applied) // the token resolves an ambiguous write
		})
	}
}

// A delayed write takes effect after its caller timed out, so a read in between
// does not see it. Cancelling a call does not cancel its write.
func TestDelayedWriteTakesEffectAfterCallerTimeout(t *testing.T) {
	is, e := is.New(t), start(t)
	e.SetFaults(platform.Faults{DelayApplyMS: 300})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	is.True(errors.Is(e.table.Put(ctx, put("late", 0, "x")), port.ErrAmbiguous))
	for e.Counters().Writes == 0 {
		select {
		case <-t.Context().Done():
			t.Fatal("the write did not take effect")
		case <-time.After(time.Millisecond):
		}
	}
	e.SetFaults(platform.Faults{})
	got, err := e.table.Get(t.Context(), "late")
	is.NoErr(err)
	is.Equal(got.Token, "x")
}

func TestRefusedConnectionIsUnavailable(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(ln.Close())
	table := awstable.New(config("http://"+ln.Addr().String()), "peardrift")
	is.True(errors.Is(table.Put(t.Context(), put("a", 0, "a")), port.ErrUnavailable))
	store := awsobject.New(config("http://"+ln.Addr().String()), "sets")
	is.True(errors.Is(store.Put(t.Context(), "a", nil), port.ErrUnavailable))
}

func TestFaultsOverHTTP(t *testing.T) {
	is, e := is.New(t), start(t)
	for _, body := range []string{`{"down":true}`, `{}`} { // also while it is down
		resp, err := http.Post(e.URL()+"/control/faults", "application/json", strings.NewReader(body))
		is.NoErr(err)
		is.NoErr(resp.Body.Close())
		is.Equal(resp.StatusCode, http.StatusNoContent)
		err = e.table.Put(t.Context(), put("a", 0, "a"))
		is.Equal(err == nil, body == "{}")
	}
	http.DefaultClient.CloseIdleConnections()
}

func BenchmarkConditionalPut(b *testing.B) {
	s := platform.New()
	is := is.New(b)
	is.NoErr(s.Start("127.0.0.1:0"))
	defer s.Close()
	table := awstable.New(config(s.URL()), "peardrift")
	defer table.Close()
	version := int64(0)
	for b.Loop() {
		is.NoErr(table.Put(b.Context(), put("head", version, "t")))
		version++
	}
}
