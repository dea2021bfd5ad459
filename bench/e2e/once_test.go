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

// payments is a cluster whose at-most-once calls go to two hosts of media, with
// claims at a stand-in platform. Requests enter at three nodes.
type payments struct {
	*cluster
	platform *platform.Server
}

var approval = query{method: "POST", host: "media.khaosan", path: "/pay", keyed: true, body: 200}

// startPayments starts the cluster; with naive set, calls run without claims.
func startPayments(t *testing.T, naive bool) *payments {
	p := &payments{cluster: newCluster(t, threeServices()), platform: platform.New()}
	p.tune = eager
	if err := p.platform.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = p.platform.Close() })
	own := func() dataplane.Claims {
		if naive {
			return nil
		}
		return p.claims(t)
	}
	p.add("feed-1", chainConfig("feed.khaosan", 10, target.Call{Service: "media.khaosan", Path: "/m", Required: true}), own())
	p.add("media-1", chainConfig("media.khaosan", 100), own())
	p.add("media-2", chainConfig("media.khaosan", 100), own())
	p.publish()
	return p
}

// claims returns the claims of one node.
func (p *payments) claims(t *testing.T) *claims.Runner {
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

// send sends the approval of a key through one entry and holds what it is told
// against the runs there were before.
func (p *payments) send(entry *host, key string) (told, error) {
	before := p.ranAt(approval.host, key)
	to, err := p.ask(entry, approval, key)
	switch after := p.ranAt(approval.host, key); {
	case err != nil:
	case after > 1:
		err = fmt.Errorf("ran %d times, told %q", after, to.outcome)
	case to.outcome == "refused" && before > 0:
		err = fmt.Errorf("refused as %s, but it had run", to.code)
	case to.outcome == "completed" && after == 0:
		err = fmt.Errorf("completed without a run")
	}
	return to, err
}

// resend sends a key through all entries at once, and returns how many were
// told that it completed.
func (p *payments) resend(key string) (completed int, err error) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, h := range p.hosts {
		for range 2 {
			wg.Go(func() {
				to, fault := p.send(h, key)
				mu.Lock()
				defer mu.Unlock()
				if fault != nil {
					err = fault
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

// completes resends a key until all are told that it completed.
func (p *payments) completes(key string) {
	p.t.Helper()
	await(p.t, "all are told the outcome", func() bool {
		n, err := p.resend(key)
		if err != nil {
			p.t.Fatal(err)
		}
		return n == 2*len(p.hosts)
	})
}

// place is a hop of an approval, at either target.
type place struct {
	name  string
	links []*faultproxy.Proxy
	// known: a cut here leaves the target's answer with its node, so repeats
	// must come to hear of it.
	known bool
}

func (p *payments) places() []place {
	a, b := p.hosts[1].links, p.hosts[2].links
	return []place{
		{"caller to entry", []*faultproxy.Proxy{p.hosts[0].links.entry}, true},
		{"entry to node", []*faultproxy.Proxy{a.node, b.node}, true},
		{"node to target", []*faultproxy.Proxy{a.target, b.target}, false},
	}
}

// lose sends a key while a cut waits at a place, mends it, and sends the key
// again through all entries.
func (p *payments) lose(pl place, cut faultproxy.Cut, key string) error {
	for _, l := range pl.links {
		l.Arm(cut)
	}
	_, err := p.send(p.hosts[0], key)
	if err != nil {
		return err
	}
	for _, l := range pl.links {
		if err := l.Disarm(); err != nil {
			return err
		}
	}
	if _, err = p.resend(key); err != nil {
		return err
	}
	p.settle()
	if pl.known {
		p.completes(key)
	}
	return nil
}

// Symptom: a payout is approved twice.
// Events: its answer is lost, or its request is cut, at any step; the caller
// sends it again through all other nodes at once.
// Cause: a node takes a call for the first of its key without asking the others.
func TestResentPayoutRunsOnce(t *testing.T) {
	p := startPayments(t, false)
	for _, pl := range p.places() {
		for _, w := range []faultproxy.Direction{faultproxy.Request, faultproxy.Answer} {
			for _, after := range []int{0, 100, 300, 600} {
				t.Run(fmt.Sprintf("%s/%s/%d", pl.name, w, after), func(t *testing.T) {
					p.t = t
					if err := p.lose(pl, faultproxy.Cut{Direction: w, After: after}, t.Name()); err != nil {
						t.Fatal(err)
					}
				})
			}
		}
	}
}

func TestWithoutClaimsAPayoutRunsTwice(t *testing.T) {
	p := startPayments(t, true)
	err := p.lose(p.places()[1], faultproxy.Cut{Direction: faultproxy.Answer}, "key")
	if err == nil {
		t.Fatal("not found")
	}
	t.Log(err)
}

// Symptom: a payout runs twice, or never again, or is said not to have run.
// Events: the platform applies writes and their answers are lost.
// Cause: a lost answer is taken as written, or as not written.
func TestWritesAppliedWithAnswerLost(t *testing.T) {
	p := startPayments(t, false)
	for every := 1; every <= 3; every++ {
		p.platform.SetFaults(platform.Faults{LoseAnswerEvery: every})
		for n := range 5 {
			key := fmt.Sprintf("key-%d-%d", every, n)
			if _, err := p.resend(key); err != nil {
				t.Fatal(err)
			}
			p.completes(key)
		}
	}
	is.New(t).True(p.platform.Counters().Lost > 0)
}

// Symptom: during an outage of the platform a payout runs without a claim, or
// reads fail too, or a caller is told that an approved payout never ran.
// Events: the platform goes down after a payout has run, and comes back.
// Cause: calls that need no claim wait for the platform, or an unread key is
// taken for a free one.
func TestPlatformOutage(t *testing.T) {
	for name, outage := range map[string]platform.Faults{
		"down": {Down: true}, "slow": {DelayMS: 2000}, "late": {DelayApplyMS: 2000}, "no writes": {RefuseWrites: true}, "throttled": {Throttle: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := startPayments(t, false)
			p.completes("before")
			p.platform.SetFaults(outage)
			n, err := p.resend("during")
			is.NoErr(err)
			is.Equal(n, 0)
			is.Equal(p.ranAt(approval.host, "during"), 0)
			_, err = p.resend("before") // never "refused": it has run
			is.NoErr(err)
			for _, h := range p.hosts {
				to, err := p.ask(h, query{method: "GET", host: "feed.khaosan", path: "/x"}, "read")
				is.NoErr(err)
				is.Equal(to.outcome, "completed")
			}
			p.platform.SetFaults(platform.Faults{})
			p.completes("before")
			p.completes("during")
		})
	}
}

func TestKeyOfAnotherRequestIsRefused(t *testing.T) {
	is := is.New(t)
	p := startPayments(t, false)
	p.completes("key")
	other := approval
	other.body++
	for _, h := range p.hosts {
		to, err := p.ask(h, other, "key")
		is.NoErr(err)
		is.Equal(to.code, "idempotency-key-reused")
		is.Equal(to.outcome, "refused")
	}
	is.Equal(p.ranAt(approval.host, "key"), 1)
}

// Symptom: a caller is told "not run" of a payout that ran.
// Events: the payout runs and its answer is lost; the caller sends it again when
// all targets leave, so that no node claims its key. Cause: a refusal speaks of
// its own call only.
func TestRefusalOfAKeyThatRanIsItsOutcome(t *testing.T) {
	is := is.New(t)
	p := startPayments(t, false)
	p.completes("key")
	p.hosts[1].leaves, p.hosts[2].leaves = true, true
	p.publish()
	for _, h := range p.hosts {
		to, err := p.send(h, "key")
		is.NoErr(err)
		is.Equal(to.outcome, "completed")
		to, err = p.send(h, "another "+h.name)
		is.NoErr(err)
		is.Equal(to.outcome, "refused")
	}
}
