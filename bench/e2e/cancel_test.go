package e2e_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"peardrift/bench/standin/target"
	"peardrift/internal/dataplane"
)

// Guards against two faults when calls are cancelled at any moment while others use
// the same connections: a connection is reused with bytes of an old answer on it,
// so that another caller gets them, or the cancellation is not propagated down the
// chain and targets continue useless work.
func TestCanceledCallsDoNotAffectOthers(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, threeServicesWithin(noDeadline))
	c.tuneEngine = func(dc *dataplane.Config) {
		retryBrokenPeersAtOnce(dc)
		// A busy machine makes calls queue at a gate; they must complete all the same.
		dc.Gate.StandingDelay, dc.Gate.MaxWait = time.Hour, time.Hour
	}
	slow := func(cfg target.Config) target.Config { // slow enough to be cancelled during some runs
		cfg.ServiceTime, cfg.Dist = 2*time.Millisecond, target.DistExponential
		return cfg
	}
	c.addHost("feed-1", slow(chainConfig("feed.khaosan", 100, target.Call{Service: "archive.khaosan", Path: "/a", Required: true})), nil)
	c.addHost("archive-1", slow(chainConfig("archive.khaosan", 100, target.Call{Service: "media.khaosan", Path: "/m", Required: true})), nil)
	c.addHost("media-1", slow(chainConfig("media.khaosan", 70_000)), nil) // streamed
	c.publish()
	q := query{method: "GET", host: "feed.khaosan", path: "/x"}
	stop := make(chan struct{})
	var cancelling, completing sync.WaitGroup
	for w := range 3 {
		cancelling.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
					c.sendAndCancel(q, fmt.Sprintf("gone-%d-%d", w, n), time.Duration(n%40)*500*time.Microsecond)
				}
			}
		})
	}
	for w := range 3 {
		completing.Go(func() {
			for n := range 8 {
				to, err := c.sendQuery(c.hosts[w%3], q, fmt.Sprintf("stays-%d-%d", w, n))
				is.NoErr(err)
				is.Equal(to.outcome, "completed")
			}
		})
	}
	completing.Wait()
	close(stop)
	cancelling.Wait()
	c.waitIdle()
	for _, h := range c.hosts {
		n := h.counters()
		is.Equal(n.Started, n.Finished+n.Cancelled+n.Failed)
	}
}

// sendAndCancel sends a query and cancels it after a delay, possibly while the answer
// is being received.
func (c *cluster) sendAndCancel(q query, mark string, after time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), after)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, q.method, "http://"+c.hosts[0].proxies.entry.Addr()+q.path, nil)
	if err != nil {
		return
	}
	req.Host = q.host
	req.Header.Set("X-Mark", mark)
	resp, err := noRetryClient.Do(req)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
}

// Guards against a target finishing useless work: the caller disconnects while the
// last service of a chain runs, and the cancellation is not propagated down.
func TestCancelReachesTheLastService(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, threeServicesWithin(noDeadline))
	c.addHost("feed-1", chainConfig("feed.khaosan", 10, target.Call{Service: "archive.khaosan", Path: "/a", Required: true}), nil)
	c.addHost("archive-1", chainConfig("archive.khaosan", 10, target.Call{Service: "media.khaosan", Path: "/m", Required: true}), nil)
	last := chainConfig("media.khaosan", 10)
	last.ServiceTime = noDeadline
	c.addHost("media-1", last, nil)
	c.publish()
	gone := make(chan struct{})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		defer close(gone)
		req, _ := http.NewRequestWithContext(ctx, "GET", "http://"+c.hosts[0].entry.Addr()+"/x", nil)
		req.Host = "feed.khaosan"
		if resp, err := noRetryClient.Do(req); err == nil {
			_ = resp.Body.Close()
		}
	}()
	await(t, "the last service works", func() bool { return c.hosts[2].counters().InFlight == 1 })
	cancel()
	<-gone
	c.waitIdle()
	is.Equal(c.hosts[2].counters().Cancelled, int64(1))
}

// Guards against reporting "failed" while a downstream call that the target timed
// out is still running.
func TestFailureWithCallInFlightIsUnknown(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, threeServicesWithin(noDeadline))
	shortTimeout := chainConfig("feed.khaosan", 10, target.Call{Service: "media.khaosan", Path: "/m", Required: true})
	shortTimeout.CallTimeout = 250 * time.Millisecond // long enough for the call to reach its target
	c.addHost("feed-1", shortTimeout, nil)
	slow := chainConfig("media.khaosan", 10)
	slow.ServiceTime, slow.IgnoreCancel = 2*time.Second, true
	c.addHost("media-1", slow, nil)
	c.publish()
	to, err := c.sendQuery(c.hosts[0], query{method: "POST", host: "feed.khaosan", path: "/x"}, "mark")
	is.NoErr(err)
	is.Equal(to.outcome, "unknown")
}
