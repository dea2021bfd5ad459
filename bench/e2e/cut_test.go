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
	keyed              bool // sends its mark as the Idempotency-Key
	body               int
	chunked            bool // sends the body without its length
}

// reportedResult is the result of a query as reported to its caller.
type reportedResult struct {
	outcome string // from the node's header; empty if the connection broke
	code    string
	answer  target.Answer
}

// noRetryClient never sends a request twice: net/http retries only requests on a
// reused connection.
var noRetryClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}

// sendQuery sends a query through a host's entry listener. It returns an error for a
// wrong or partial answer.
func (c *cluster) sendQuery(entry *host, q query, mark string) (reportedResult, error) {
	c.t.Helper()
	var body io.Reader = bytes.NewReader(make([]byte, q.body))
	if q.chunked {
		body = struct{ io.Reader }{body}
	}
	req, err := http.NewRequest(q.method, "http://"+entry.proxies.entry.Addr()+q.path, body)
	if err != nil {
		c.t.Fatal(err)
	}
	req.Host = q.host
	req.Header.Set("X-Mark", mark)
	if q.keyed {
		req.Header.Set("Idempotency-Key", mark)
	}
	resp, err := noRetryClient.Do(req)
	if err != nil {
		return reportedResult{}, nil
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return reportedResult{}, nil // the break was visible
	}
	to := reportedResult{outcome: resp.Header.Get("Peardrift-Outcome"), code: resp.Header.Get("Peardrift-Code")}
	if resp.StatusCode != http.StatusOK {
		if to.outcome == "completed" && !(c.answersNotKept && to.code == "completed-answer-not-kept") {
			return to, fmt.Errorf("completed with status %d: %s", resp.StatusCode, b)
		}
		return to, nil
	}
	to.answer, err = target.Verify(b, mark)
	if err != nil || to.outcome != "completed" || to.answer.Service != q.host || to.answer.Received != int64(q.body) {
		return to, fmt.Errorf("wrong answer, outcome %q: %w", to.outcome, err)
	}
	return to, nil
}

// waitIdle waits until no engine or target has requests in flight.
func (c *cluster) waitIdle() {
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

// counters returns the target's counters; zero for a scripted target.
func (h *host) counters() target.Counters {
	if h.target == nil {
		return target.Counters{}
	}
	return h.target.Counters()
}

// totalRuns counts the runs started so far on all targets.
func (c *cluster) totalRuns() (n int64) {
	for _, h := range c.hosts {
		n += h.counters().Started
	}
	return n
}

// runsOf counts the runs of a mark on the targets of a service.
func (c *cluster) runsOf(svc, mark string) (n int) {
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

const awaitTimeout = 20 * time.Second // exceeded only if there is a fault

// await polls until ok reports true and fails the test on timeout.
func await(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(awaitTimeout); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting: %s", what)
		}
	}
}

// retryBrokenPeersAtOnce makes an engine call a peer again immediately after its
// connection broke, so that each enumerated cut hits its connection.
func retryBrokenPeersAtOnce(c *dataplane.Config) {
	c.Route.BreakTime, c.Route.BreakMax = time.Nanosecond, time.Nanosecond
	c.Route.EjectAfter, c.Route.EjectErrors = 1<<30, 2
}

// cutOffsets returns about most offsets in a message of n bytes, including both ends
// and every byte around the end of its head.
func cutOffsets(n, head, most int) []int {
	var at []int
	for i := 0; i < n; i++ {
		if i == 0 || i == n-1 || i%max(1, n/most) == 0 || i >= head-3 && i <= head+1 {
			at = append(at, i)
		}
	}
	return at
}

// hop is a connection on the path of a query.
type hop struct {
	name  string
	proxy *faultproxy.Proxy
}

// Guards against a request that ran being reported as not run, a partial or wrong
// answer, or an unrequested second run: a connection on the path breaks, or the
// process behind it dies, at any byte of the request or the answer, and some hop
// takes the break as proof that nothing ran or forwards a truncated message.
func TestConnectionCutAtAnyByte(t *testing.T) {
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
			c.tuneEngine = retryBrokenPeersAtOnce
			c.startChain(tt.size)
			for _, hop := range tt.hops(c.hosts[0], c.hosts[1], c.hosts[2]) {
				for _, d := range []faultproxy.Direction{faultproxy.Request, faultproxy.Answer} {
					for _, fault := range []faultproxy.Fault{faultproxy.Reset, faultproxy.CloseGracefully, faultproxy.Kill} {
						t.Run(fmt.Sprintf("%s/%s/%s", hop.name, d, fault), func(t *testing.T) {
							c.t = t
							if err := c.testCuts(hop.proxy, d, fault, tt.q); err != nil {
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
		{"caller to entry", feed.proxies.entry}, {"entry to node", feed.proxies.node},
		{"node to target", feed.proxies.target}, {"target to node", feed.proxies.egress},
		{"second node", archive.proxies.node}, {"second target", archive.proxies.target},
		{"third node", media.proxies.node}, {"third target", media.proxies.target},
	}
}

func oneService(feed, _, media *host) []hop {
	return []hop{
		{"caller to entry", feed.proxies.entry}, {"entry to node", media.proxies.node}, {"node to target", media.proxies.target},
	}
}

// testCuts sends the query repeatedly, with a cut at a later offset each time, and
// returns the first violation.
func (c *cluster) testCuts(p *faultproxy.Proxy, d faultproxy.Direction, fault faultproxy.Fault, q query) error {
	const cuts = 4
	size := c.measure(p, d, q)
	hits := 0
	for _, at := range cutOffsets(size, estimateHeadSize(q, size), cuts) {
		mark := fmt.Sprintf("%s-%s-%s-%d", c.t.Name(), d, fault, at)
		before := c.totalRuns()
		cutDone := p.Arm(faultproxy.Cut{Direction: d, After: at, Fault: fault})
		to, err := c.sendQuery(c.hosts[0], q, mark)
		c.waitIdle()
		select {
		case <-cutDone:
			hits++
		default: // a header value was shorter this time, so the cut was not reached
		}
		if err == nil {
			err = c.checkOutcome(q, to, mark, c.totalRuns()-before)
		}
		if err != nil {
			return fmt.Errorf("cut after byte %d: %w", at, err)
		}
		c.restore(p, q, mark+"-after")
	}
	if hits == 0 {
		c.t.Fatal("no cut hit a connection")
	}
	return nil
}

// estimateHeadSize estimates where a message's head ends; offsets are denser there.
func estimateHeadSize(q query, size int) int {
	if q.body > 0 && size > q.body {
		return size - q.body
	}
	return min(size, 400)
}

// measure returns the number of bytes that a query transfers through a proxy.
func (c *cluster) measure(p *faultproxy.Proxy, d faultproxy.Direction, q query) int {
	c.restore(p, q, "measure")
	if err := p.Disarm(); err != nil {
		c.t.Fatal(err)
	}
	if _, err := c.sendQuery(c.hosts[0], q, c.t.Name()+"-measure"); err != nil {
		c.t.Fatal(err)
	}
	c.waitIdle()
	return p.PassedBytes(d)
}

// checkOutcome checks the result reported to the caller against the runs.
func (c *cluster) checkOutcome(q query, to reportedResult, mark string, ran int64) error {
	const services, allowance = 3, 2 // see threeServices
	switch {
	case ran > services+allowance:
		return fmt.Errorf("%d runs exceed the chain's retry allowance", ran)
	case q.method == "POST" && c.runsOf(q.host, mark) > 1:
		return fmt.Errorf("ran twice, reported %q", to.outcome)
	case to.outcome == "refused" && ran != 0:
		return fmt.Errorf("refused as %s, but %d runs", to.code, ran)
	case (to.outcome == "completed" || to.outcome == "failed") && ran == 0:
		return fmt.Errorf("%s without a run", to.outcome)
	}
	return nil
}

// restore disarms the proxy and waits until a query completes again.
func (c *cluster) restore(p *faultproxy.Proxy, q query, mark string) {
	c.t.Helper()
	if err := p.Disarm(); err != nil {
		c.t.Fatal(err)
	}
	n := 0
	await(c.t, "a query completes again", func() bool {
		n++
		to, err := c.sendQuery(c.hosts[0], q, fmt.Sprintf("%s-%d", mark, n))
		return err == nil && to.outcome == "completed"
	})
	c.waitIdle()
}
