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
)

// Symptom: after callers have gone away, others get parts of their answers, or
// targets go on working for nobody.
// Events: calls are canceled at any moment, in the midst of a chain and of
// answers on their way, while others go on over the same connections.
// Cause: a connection is reused with bytes of an old answer on it; the end of a
// call is not passed down.
func TestCanceledCallsDisturbNobody(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, threeServicesWithin(never))
	c.tune = eager
	slow := func(cfg target.Config) target.Config { // canceled while it works, now and then
		cfg.ServiceTime, cfg.Dist = 2*time.Millisecond, target.DistExponential
		return cfg
	}
	c.add("feed-1", slow(chainConfig("feed.khaosan", 100, target.Call{Service: "archive.khaosan", Path: "/a", Required: true})), nil)
	c.add("archive-1", slow(chainConfig("archive.khaosan", 100, target.Call{Service: "media.khaosan", Path: "/m", Required: true})), nil)
	c.add("media-1", slow(chainConfig("media.khaosan", 70_000)), nil) // streamed
	c.publish()
	q := query{method: "GET", host: "feed.khaosan", path: "/x"}
	stop := make(chan struct{})
	var fleeting, lasting sync.WaitGroup
	for w := range 3 {
		fleeting.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
					c.abandon(q, fmt.Sprintf("gone-%d-%d", w, n), time.Duration(n%40)*500*time.Microsecond)
				}
			}
		})
	}
	for w := range 3 {
		lasting.Go(func() {
			for n := range 8 {
				to, err := c.ask(c.hosts[w%3], q, fmt.Sprintf("stays-%d-%d", w, n))
				is.NoErr(err)
				is.Equal(to.outcome, "completed")
			}
		})
	}
	lasting.Wait()
	close(stop)
	fleeting.Wait()
	c.settle()
	for _, h := range c.hosts {
		n := h.counters()
		is.Equal(n.Started, n.Finished+n.Cancelled+n.Failed)
	}
}

// abandon sends a query and goes away after a while, also in the midst of the
// answer.
func (c *cluster) abandon(q query, mark string, after time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), after)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, q.method, "http://"+c.hosts[0].links.entry.Addr()+q.path, nil)
	if err != nil {
		return
	}
	req.Host = q.host
	req.Header.Set("X-Mark", mark)
	resp, err := oneShot.Do(req)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
}

// Symptom: a target works to the end for a caller that has gone.
// Events: the caller goes away while the last service of a chain works.
// Cause: the end of the call is not passed down the chain.
func TestCancelReachesTheLastService(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, threeServicesWithin(never))
	c.add("feed-1", chainConfig("feed.khaosan", 10, target.Call{Service: "archive.khaosan", Path: "/a", Required: true}), nil)
	c.add("archive-1", chainConfig("archive.khaosan", 10, target.Call{Service: "media.khaosan", Path: "/m", Required: true}), nil)
	last := chainConfig("media.khaosan", 10)
	last.ServiceTime = never
	c.add("media-1", last, nil)
	c.publish()
	gone := make(chan struct{})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		defer close(gone)
		req, _ := http.NewRequestWithContext(ctx, "GET", "http://"+c.hosts[0].entry.Addr()+"/x", nil)
		req.Host = "feed.khaosan"
		if resp, err := oneShot.Do(req); err == nil {
			_ = resp.Body.Close()
		}
	}()
	await(t, "the last service works", func() bool { return c.hosts[2].counters().InFlight == 1 })
	cancel()
	<-gone
	c.settle()
	is.Equal(c.hosts[2].counters().Cancelled, int64(1))
}

// Guards against "failed" being said while a call below, given up by its target, runs on.
func TestFailureWithACallUnderWayIsInDoubt(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, threeServicesWithin(never))
	hasty := chainConfig("feed.khaosan", 10, target.Call{Service: "media.khaosan", Path: "/m", Required: true})
	hasty.CallTimeout = 250 * time.Millisecond // in which the call gets to its target
	c.add("feed-1", hasty, nil)
	slow := chainConfig("media.khaosan", 10)
	slow.ServiceTime, slow.IgnoreCancel = 2*time.Second, true
	c.add("media-1", slow, nil)
	c.publish()
	to, err := c.ask(c.hosts[0], query{method: "POST", host: "feed.khaosan", path: "/x"}, "mark")
	is.NoErr(err)
	is.Equal(to.outcome, "unknown")
}
