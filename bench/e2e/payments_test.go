package e2e_test

import (
	"fmt"
	"sync"
	"testing"

	"github.com/matryer/is"
	"github.com/panjf2000/ants/v2"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"peardrift/bench/standin/platform"
	"peardrift/bench/standin/target"
	"peardrift/internal/adapter/awstable"
	"peardrift/internal/adapter/awstable/awscall"
	"peardrift/internal/claims"
	"peardrift/internal/dataplane"
	"peardrift/internal/faultproxy"
)

// payments is a cluster of three nodes whose at-most-once calls go to two hosts of
// media, with claims stored in a platform stand-in. Requests enter at all nodes.
type payments struct {
	*cluster
	platform *platform.Server
}

var paymentQuery = query{method: "POST", host: "media.khaosan", path: "/pay", keyed: true, body: 200}

// startPayments starts the cluster; naive runs calls without claims.
func startPayments(t *testing.T, naive bool) *payments {
	p := &payments{cluster: newCluster(t, threeServices()), platform: platform.New()}
	p.tuneEngine = retryBrokenPeersAtOnce
	if err := p.platform.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = p.platform.Close() })
	own := func() dataplane.Claims {
		if naive {
			return nil
		}
		return p.newClaims(t)
	}
	p.addHost("feed-1", chainConfig("feed.khaosan", 10, target.Call{Service: "media.khaosan", Path: "/m", Required: true}), own())
	p.addHost("media-1", chainConfig("media.khaosan", 100), own())
	p.addHost("media-2", chainConfig("media.khaosan", 100), own())
	p.publish()
	return p
}

// newClaims returns a claims runner for one node.
func (p *payments) newClaims(t *testing.T) *claims.Runner {
	cfg := awscall.DefaultConfig()
	cfg.Endpoint, cfg.AccessKey, cfg.SecretKey = p.platform.URL(), "access", "secret"
	table := awstable.New(cfg, "peardrift")
	pool, err := ants.NewPool(64, ants.WithNonblocking(true))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		pool.Release()
		table.Close()
	})
	return claims.New(claims.SingleRows{Table: table}, pool, claims.DefaultConfig(), zap.NewNop(), tally.NoopScope)
}

// sendAndCheck sends the payment of a key through one entry node and checks the
// reported result against the number of runs.
func (p *payments) sendAndCheck(entry *host, key string) (reportedResult, error) {
	before := p.runsOf(paymentQuery.host, key)
	to, err := p.sendQuery(entry, paymentQuery, key)
	switch after := p.runsOf(paymentQuery.host, key); {
	case err != nil:
	case after > 1:
		err = fmt.Errorf("ran %d times, reported %q", after, to.outcome)
	case to.outcome == "refused" && before > 0:
		err = fmt.Errorf("refused as %s, but it had run", to.code)
	case to.outcome == "completed" && after == 0:
		err = fmt.Errorf("completed without a run")
	}
	return to, err
}

// resendEverywhere sends a key twice through every entry node concurrently and
// returns how many senders were told that it completed.
func (p *payments) resendEverywhere(key string) (completed int, err error) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, h := range p.hosts {
		for range 2 {
			wg.Go(func() {
				to, sendErr := p.sendAndCheck(h, key)
				mu.Lock()
				defer mu.Unlock()
				if sendErr != nil {
					err = sendErr
				}
				if to.outcome == "completed" {
					completed++
				}
			})
		}
	}
	wg.Wait()
	return completed, err
}

// awaitCompleted resends a key until all senders are told that it completed.
func (p *payments) awaitCompleted(key string) {
	p.t.Helper()
	await(p.t, "all senders are told that it completed", func() bool {
		n, err := p.resendEverywhere(key)
		if err != nil {
			p.t.Fatal(err)
		}
		return n == 2*len(p.hosts)
	})
}

// cutPoint is a hop of a payment, with the proxies on the way to both targets.
type cutPoint struct {
	name    string
	proxies []*faultproxy.Proxy
	// answerKept reports that the target's node has the answer despite a cut at this
	// hop, so that repeats must eventually get its outcome.
	answerKept bool
}

func (p *payments) cutPoints() []cutPoint {
	a, b := p.hosts[1].proxies, p.hosts[2].proxies
	return []cutPoint{
		{"caller to entry", []*faultproxy.Proxy{p.hosts[0].proxies.entry}, true},
		{"entry to node", []*faultproxy.Proxy{a.node, b.node}, true},
		{"node to target", []*faultproxy.Proxy{a.target, b.target}, false},
	}
}

// cutAndResend sends a key with a cut armed at a hop, disarms it and resends the key
// through all entry nodes.
func (p *payments) cutAndResend(pl cutPoint, cut faultproxy.Cut, key string) error {
	for _, l := range pl.proxies {
		l.Arm(cut)
	}
	_, err := p.sendAndCheck(p.hosts[0], key)
	if err != nil {
		return err
	}
	for _, l := range pl.proxies {
		if err := l.Disarm(); err != nil {
			return err
		}
	}
	if _, err = p.resendEverywhere(key); err != nil {
		return err
	}
	p.waitIdle()
	if pl.answerKept {
		p.awaitCompleted(key)
	}
	return nil
}

// Guards against a payment running twice: its request or answer is cut at any hop,
// the caller resends it through all nodes at once, and a node treats the call as
// the first of its key without checking with the others.
func TestResentPaymentRunsOnce(t *testing.T) {
	p := startPayments(t, false)
	for _, pl := range p.cutPoints() {
		for _, w := range []faultproxy.Direction{faultproxy.Request, faultproxy.Answer} {
			for _, after := range []int{0, 100, 300, 600} {
				t.Run(fmt.Sprintf("%s/%s/%d", pl.name, w, after), func(t *testing.T) {
					p.t = t
					if err := p.cutAndResend(pl, faultproxy.Cut{Direction: w, After: after}, t.Name()); err != nil {
						t.Fatal(err)
					}
				})
			}
		}
	}
}

func TestPaymentRunsTwiceWithoutClaims(t *testing.T) {
	p := startPayments(t, true)
	err := p.cutAndResend(p.cutPoints()[1], faultproxy.Cut{Direction: faultproxy.Answer}, "key")
	if err == nil {
		t.Fatal("the second run was not detected")
	}
	t.Log(err)
}

// Guards against a payment running twice, becoming impossible to run or being
// reported as not run: the platform applies writes but loses their answers, and a
// lost answer is taken as proof that the write did or did not happen.
func TestClaimWriteAnswersLost(t *testing.T) {
	p := startPayments(t, false)
	for every := 1; every <= 3; every++ {
		p.platform.SetFaults(platform.Faults{DropReplyEvery: every})
		for n := range 5 {
			key := fmt.Sprintf("key-%d-%d", every, n)
			if _, err := p.resendEverywhere(key); err != nil {
				t.Fatal(err)
			}
			p.awaitCompleted(key)
		}
	}
	is.New(t).True(p.platform.Counters().Lost > 0)
}

// Guards against three faults while the platform is down: a payment runs without a
// claim, reads fail because calls without a claim wait for the platform, or a
// completed payment is reported as not run because an unread key is taken as free.
func TestPlatformOutage(t *testing.T) {
	for name, outage := range map[string]platform.Faults{
		"down": {Down: true}, "slow": {DelayMS: 2000}, "late": {DelayApplyMS: 2000}, "no writes": {RefuseWrites: true}, "throttled": {Throttle: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := startPayments(t, false)
			p.awaitCompleted("before")
			p.platform.SetFaults(outage)
			n, err := p.resendEverywhere("during")
			is.NoErr(err)
			is.Equal(n, 0)
			is.Equal(p.runsOf(paymentQuery.host, "during"), 0)
			_, err = p.resendEverywhere("before") // never "refused": it has run
			is.NoErr(err)
			for _, h := range p.hosts {
				to, err := p.sendQuery(h, query{method: "GET", host: "feed.khaosan", path: "/x"}, "read")
				is.NoErr(err)
				is.Equal(to.outcome, "completed")
			}
			p.platform.SetFaults(platform.Faults{})
			p.awaitCompleted("before")
			p.awaitCompleted("during")
		})
	}
}

func TestReusedKeyIsRefused(t *testing.T) {
	is := is.New(t)
	p := startPayments(t, false)
	p.awaitCompleted("key")
	other := paymentQuery
	other.body++
	for _, h := range p.hosts {
		to, err := p.sendQuery(h, other, "key")
		is.NoErr(err)
		is.Equal(to.code, "idempotency-key-reused")
		is.Equal(to.outcome, "refused")
	}
	is.Equal(p.runsOf(paymentQuery.host, "key"), 1)
}

// Guards against a payment that ran being reported as not run: its answer is lost,
// the caller resends it while all targets are leaving, so that no node claims the
// key, and the refusal reflects only the repeated call.
func TestRepeatOfCompletedKeyReportsItsOutcome(t *testing.T) {
	is := is.New(t)
	p := startPayments(t, false)
	p.awaitCompleted("key")
	p.hosts[1].targetLeaving, p.hosts[2].targetLeaving = true, true
	p.publish()
	for _, h := range p.hosts {
		to, err := p.sendAndCheck(h, "key")
		is.NoErr(err)
		is.Equal(to.outcome, "completed")
		to, err = p.sendAndCheck(h, "another "+h.name)
		is.NoErr(err)
		is.Equal(to.outcome, "refused")
	}
}
