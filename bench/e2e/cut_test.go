package e2e_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"peardrift/bench/standin/target"
	"peardrift/internal/dataplane"
	"peardrift/internal/faultproxy"
)

// query is a request as a caller sends it.
type query struct {
	method, host, path string
	keyed              bool // sends its mark as the key of at-most-once classes
	body               int
	chunked            bool // sends the body without its length
}

// told is what the caller of a query learned.
type told struct {
	outcome string // as the node says; empty if the answer broke off
	code    string
	answer  target.Answer
}

// oneShot never sends a request twice: net/http repeats a request only on a
// connection that had carried another.
var oneShot = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}

// ask sends a query through a host's entry. The error tells of a false or
// partial answer.
func (c *cluster) ask(entry *host, q query, mark string) (told, error) {
	c.t.Helper()
	var body io.Reader = bytes.NewReader(make([]byte, q.body))
	if q.chunked {
		body = struct{ io.Reader }{body}
	}
	req, err := http.NewRequest(q.method, "http://"+entry.links.entry.Addr()+q.path, body)
	if err != nil {
		c.t.Fatal(err)
	}
	req.Host = q.host
	req.Header.Set("X-Mark", mark)
	if q.keyed {
		req.Header.Set("Idempotency-Key", mark)
	}
	resp, err := oneShot.Do(req)
	if err != nil {
		return told{}, nil
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return told{}, nil // the break was visible
	}
	to := told{outcome: resp.Header.Get("Peardrift-Outcome"), code: resp.Header.Get("Peardrift-Code")}
	if resp.StatusCode != http.StatusOK {
		if to.outcome == "completed" && !(c.bare && to.code == "completed-answer-not-kept") {
			return to, fmt.Errorf("completed with status %d: %s", resp.StatusCode, b)
		}
		return to, nil
	}
	to.answer, err = target.Verify(b, mark)
	if err != nil || to.outcome != "completed" || to.answer.Service != q.host || to.answer.Received != int64(q.body) {
		return to, fmt.Errorf("false answer, outcome %q: %w", to.outcome, err)
	}
	return to, nil
}

// settle waits until nothing runs anywhere.
func (c *cluster) settle() {
	c.t.Helper()
	await(c.t, "nothing in flight", func() bool {
		for _, h := range c.hosts {
			if h.engine.InFlight() > 0 {
				return false
			}
			if n := h.counters(); n.InFlight > 0 || n.Queued > 0 {
				return false
			}
		}
		return true
	})
}

// counters returns the target's; none of a scripted one.
func (h *host) counters() target.Counters {
	if h.target == nil {
		return target.Counters{}
	}
	return h.target.Counters()
}

// runs counts the runs begun so far, on all targets.
func (c *cluster) runs() (n int64) {
	for _, h := range c.hosts {
		n += h.counters().Started
	}
	return n
}

// ranAt counts the runs of a mark on the targets of a service.
func (c *cluster) ranAt(svc, mark string) (n int) {
	for _, h := range c.hosts {
		if string(h.svc) != svc {
			continue
		}
		for _, keys := range h.counters().Runs {
			n += keys[mark]
		}
	}
	return n
}

const patience = 20 * time.Second // that only a fault outlasts

// await polls for a condition.
func await(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("never: %s", what)
		}
	}
}

// eager makes an engine go back to a peer at once after a break, so that each
// cut of an enumeration meets its connection.
func eager(c *dataplane.Config) {
	c.Route.BreakTime, c.Route.BreakMax = time.Nanosecond, time.Nanosecond
	c.Route.EjectAfter, c.Route.EjectErrors = 1<<30, 2
}

// points returns about most places of a message of n bytes, with its ends and,
// byte by byte, the place where its head ends.
func points(n, head, most int) []int {
	var at []int
	for i := 0; i < n; i++ {
		if i == 0 || i == n-1 || i%max(1, n/most) == 0 || i >= head-3 && i <= head+1 {
			at = append(at, i)
		}
	}
	return at
}

// hop is a connection on a query's way.
type hop struct {
	name string
	link *faultproxy.Proxy
}

// Symptom: a caller is told "not run" of a request that ran, or gets a part of
// an answer, another's, or a second run that nobody asked for.
// Events: at any byte of the request or the answer, on any connection of its
// way, the connection breaks or the process behind it dies.
// Cause: some step takes a break for proof that nothing happened, or passes on
// what it has.
func TestCutBetweenAnyTwoSteps(t *testing.T) {
	for _, tt := range []struct {
		name string
		q    query
		size int // of media's answers
		hops func(feed, archive, media *host) []hop
	}{
		{"read", query{method: "GET", host: "feed.khaosan", path: "/x"}, 300, wholeChain},
		{"write", query{method: "POST", host: "feed.khaosan", path: "/x", body: 300}, 300, wholeChain},
		{"at most once", query{method: "POST", host: "media.khaosan", path: "/pay", keyed: true, body: 300}, 300, oneService},
		{"large answer", query{method: "GET", host: "media.khaosan", path: "/m"}, 100_000, oneService},
		{"large upload", query{method: "POST", host: "media.khaosan", path: "/m", body: 300_000}, 300, oneService},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, threeServices())
			c.tune = eager
			c.startChain(tt.size)
			for _, hop := range tt.hops(c.hosts[0], c.hosts[1], c.hosts[2]) {
				for _, w := range []faultproxy.Direction{faultproxy.Request, faultproxy.Answer} {
					for _, how := range []faultproxy.Fault{faultproxy.Reset, faultproxy.CloseGracefully, faultproxy.Kill} {
						t.Run(fmt.Sprintf("%s/%s/%s", hop.name, w, how), func(t *testing.T) {
							c.t = t
							if err := c.cutEverywhere(hop.link, w, how, tt.q); err != nil {
								t.Fatal(err)
							}
						})
					}
				}
			}
		})
	}
}

func wholeChain(feed, archive, media *host) []hop {
	return []hop{
		{"caller to entry", feed.links.entry}, {"entry to node", feed.links.node},
		{"node to target", feed.links.target}, {"target to node", feed.links.egress},
		{"second node", archive.links.node}, {"second target", archive.links.target},
		{"third node", media.links.node}, {"third target", media.links.target},
	}
}

func oneService(feed, _, media *host) []hop {
	return []hop{
		{"caller to entry", feed.links.entry}, {"entry to node", media.links.node}, {"node to target", media.links.target},
	}
}

// cutEverywhere sends the query again and again, with the cut one step later
// each time, and returns the first falsehood.
func (c *cluster) cutEverywhere(l *faultproxy.Proxy, w faultproxy.Direction, how faultproxy.Fault, q query) error {
	const cuts = 4
	size := c.measure(l, w, q)
	struck := 0
	for _, at := range points(size, headOf(q, size), cuts) {
		mark := fmt.Sprintf("%s-%s-%s-%d", c.t.Name(), w, how, at)
		before := c.runs()
		strike := l.Arm(faultproxy.Cut{Direction: w, After: at, Fault: how})
		to, err := c.ask(c.hosts[0], q, mark)
		c.settle()
		select {
		case <-strike:
			struck++
		default: // some header's value was shorter this time
		}
		if err == nil {
			err = c.judge(q, to, mark, c.runs()-before)
		}
		if err != nil {
			return fmt.Errorf("cut after byte %d: %w", at, err)
		}
		c.recover(l, q, mark+"-after")
	}
	if struck == 0 {
		c.t.Fatal("no cut met a connection")
	}
	return nil
}

// headOf guesses where a message's head ends; the enumeration is denser there.
func headOf(q query, size int) int {
	if q.body > 0 && size > q.body {
		return size - q.body
	}
	return min(size, 400)
}

// measure returns how many bytes a query moves on a link.
func (c *cluster) measure(l *faultproxy.Proxy, w faultproxy.Direction, q query) int {
	c.recover(l, q, "measure")
	if err := l.Disarm(); err != nil {
		c.t.Fatal(err)
	}
	if _, err := c.ask(c.hosts[0], q, c.t.Name()+"-measure"); err != nil {
		c.t.Fatal(err)
	}
	c.settle()
	return l.PassedBytes(w)
}

// judge holds what a caller was told against what ran.
func (c *cluster) judge(q query, to told, mark string, ran int64) error {
	const services, allowance = 3, 2 // of threeServices
	switch {
	case ran > services+allowance:
		return fmt.Errorf("%d runs, over the allowance of the chain", ran)
	case q.method == "POST" && c.ranAt(q.host, mark) > 1:
		return fmt.Errorf("ran twice, told %q", to.outcome)
	case to.outcome == "refused" && ran != 0:
		return fmt.Errorf("refused as %s, but %d runs", to.code, ran)
	case (to.outcome == "completed" || to.outcome == "failed") && ran == 0:
		return fmt.Errorf("%s without a run", to.outcome)
	}
	return nil
}

// recover mends the link and waits until a query completes again.
func (c *cluster) recover(l *faultproxy.Proxy, q query, mark string) {
	c.t.Helper()
	if err := l.Disarm(); err != nil {
		c.t.Fatal(err)
	}
	n := 0
	await(c.t, "a query completes again", func() bool {
		n++
		to, err := c.ask(c.hosts[0], q, fmt.Sprintf("%s-%d", mark, n))
		return err == nil && to.outcome == "completed"
	})
	c.settle()
}
