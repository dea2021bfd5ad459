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

// Symptom: one request that always fails costs the fleet a run of its whole chain
// or more for each time that its caller sends it.
// Events: its caller sends it 120 times, each time through another of six nodes.
// Cause: each node takes it for a new request, with an allowance and a budget of
// its own.
func TestResentRequestIsBoundedOverAllNodes(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, threeServices())
	// No budget grows by itself, so that the time taken doesn't count.
	c.tune = func(dc *dataplane.Config) { dc.Retry.MinRate = 0 }
	for n := range 4 {
		c.add(fmt.Sprintf("feed-%d", n), chainConfig("feed.khaosan", 10), nil)
	}
	calling := chainConfig("media.khaosan", 10, target.Call{Service: "archive.khaosan", Path: "/a", Required: true})
	for n := range 2 {
		c.add(fmt.Sprintf("media-%d", n), calling, nil)
	}
	below := new(atomic.Int64)
	c.addScript("archive-1", "archive.khaosan", func(conn net.Conn, _ *http.Request, _ int64) {
		below.Add(1)
		_, _ = io.WriteString(conn, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")
	})
	c.publish()
	rng := rand.New(rand.NewPCG(1, 2))
	told := map[string]int{}
	const sendings = 120
	for range sendings {
		req, err := http.NewRequest(http.MethodGet, "http://"+c.hosts[rng.IntN(len(c.hosts))].entry.Addr()+"/m", nil)
		is.NoErr(err)
		req.Host = "media.khaosan"
		req.Header.Set("X-Request-Id", "one")
		req.Header.Set("X-Mark", "one")
		resp, err := oneShot.Do(req)
		is.NoErr(err)
		_ = resp.Body.Close()
		told[resp.Header.Get("Peardrift-Outcome")+" "+resp.Header.Get("Peardrift-Code")]++
		if resp.Header.Get("Peardrift-Code") == "retries-exhausted" {
			is.True(resp.Header.Get("Retry-After") != "")
		}
	}
	t.Logf("%d sendings, %d runs, %d below, told %v", sendings, c.runs(), below.Load(), told)
	is.True(c.runs() <= 2*(1+1+1)) // of each target the first, its budget's one, and a node's own try
	is.True(below.Load() <= c.runs()*3)
}
