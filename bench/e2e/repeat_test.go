package e2e_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"peardrift/bench/standin/target"
	"peardrift/internal/dataplane"
)

// Guards against a request that always fails costing at least one run of its whole
// chain per resend: the caller sends it 120 times through six random nodes, and
// each node treats it as a new request with its own allowance and retry budget.
func TestResentRequestRunsAreBounded(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, threeServices())
	// No budget refills over time, so that the test's duration doesn't matter.
	c.tuneEngine = func(dc *dataplane.Config) { dc.Retry.MinRate = 0 }
	for n := range 4 {
		c.addHost(fmt.Sprintf("feed-%d", n), chainConfig("feed.khaosan", 10), nil)
	}
	mediaConfig := chainConfig("media.khaosan", 10, target.Call{Service: "archive.khaosan", Path: "/a", Required: true})
	for n := range 2 {
		c.addHost(fmt.Sprintf("media-%d", n), mediaConfig, nil)
	}
	archiveCalls := new(atomic.Int64)
	c.addScriptedHost("archive-1", "archive.khaosan", func(conn net.Conn, _ *http.Request, _ int64) {
		archiveCalls.Add(1)
		_, _ = io.WriteString(conn, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")
	})
	c.publish()
	rng := rand.New(rand.NewPCG(1, 2))
	outcomes := map[string]int{}
	const resends = 120
	for range resends {
		req, err := http.NewRequest(http.MethodGet, "http://"+c.hosts[rng.IntN(len(c.hosts))].entry.Addr()+"/m", nil)
		is.NoErr(err)
		req.Host = "media.khaosan"
		req.Header.Set("X-Request-Id", "one")
		req.Header.Set("X-Mark", "one")
		resp, err := noRetryClient.Do(req)
		is.NoErr(err)
		_ = resp.Body.Close()
		outcomes[resp.Header.Get("Peardrift-Outcome")+" "+resp.Header.Get("Peardrift-Code")]++
		if resp.Header.Get("Peardrift-Code") == "retries-exhausted" {
			is.True(resp.Header.Get("Retry-After") != "")
		}
	}
	t.Logf("%d sends, %d runs, %d downstream calls, outcomes %v", resends, c.totalRuns(), archiveCalls.Load(), outcomes)
	is.True(c.totalRuns() <= 2*(1+1+1)) // per target: the first run, one from its retry budget, one attempt of a node
	is.True(archiveCalls.Load() <= c.totalRuns()*3)
}
