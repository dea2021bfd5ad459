package e2e_test

import (
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"peardrift/internal/core/configset"
	"peardrift/internal/core/request"
	"peardrift/internal/dataplane"
	"peardrift/internal/faultproxy"
)

// Symptom: a caller's body is run as a request of its own.
// Events: a request's chunked body is broken off by bytes that look like another
// request; the first is refused. Cause: the connection is read on, although nobody
// knows where the next request on it begins.
func TestNothingIsReadAfterABrokenBody(t *testing.T) {
	const hidden = "GET /hidden HTTP/1.1\r\nHost: media.khaosan\r\n\r\n"
	for name, body := range map[string]string{
		"no chunk":     "zz\r\n" + hidden,
		"chunk's end":  "3\r\nabcde\r\n" + hidden,
		"last chunk":   "3\r\nabc\r\n0\r\nx" + hidden,
		"chunk's size": "fffffffffffffffff\r\n" + hidden,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCluster(t, threeServices())
			c.add("media-1", chainConfig("media.khaosan", 10), nil)
			c.publish()
			conn, err := net.Dial("tcp", c.hosts[0].entry.Addr())
			is.NoErr(err)
			defer conn.Close()
			_, err = io.WriteString(conn, "POST /m HTTP/1.1\r\nHost: media.khaosan\r\nTransfer-Encoding: chunked\r\n\r\n"+body)
			is.NoErr(err)
			_, _ = io.ReadAll(conn) // until the node closes it
			is.Equal(c.runs(), int64(0))
		})
	}
}

// Symptom: a target runs a body of any length. Events: one that doesn't state its
// length turns out longer than its class allows. Cause: only stated lengths are
// looked at.
func TestChunkedBodyIsBounded(t *testing.T) {
	is := is.New(t)
	const most = 100_000
	c := newCluster(t, configset.NewIndex(configset.Set{Tenant: "khaosan", Version: 1, Share: 1, Services: []configset.Service{
		{Name: "media", Slots: 190, Connections: 1250, Classes: []configset.Class{
			{Name: "media", Path: "/", Importance: 10, Deadline: 2 * time.Second, MaxBody: most},
		}},
	}}))
	c.add("media-1", chainConfig("media.khaosan", 10), nil)
	c.publish()
	q := query{method: http.MethodPost, host: "media.khaosan", path: "/m", body: most, chunked: true}
	to, err := c.ask(c.hosts[0], q, "fits")
	is.NoErr(err)
	is.Equal(to.outcome, "completed")
	q.body = 3 * most
	to, err = c.ask(c.hosts[0], q, "too long")
	is.NoErr(err)
	is.True(to.outcome != "completed")
	c.settle()
	is.Equal(c.hosts[0].counters().Finished, int64(1))
}

// Symptom: a payout's caller gets a part of the answer as a whole one, and so does
// each that asks again. Events: the target's answer, too long to be held, breaks off.
// Cause: what came of it is recorded.
func TestBrokenAnswerIsNotRecorded(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, threeServices())
	c.add("media-1", chainConfig("media.khaosan", 500_000), nil)
	c.publish()
	c.hosts[0].links.target.Arm(faultproxy.Cut{Direction: faultproxy.Answer, After: 250_000, Fault: faultproxy.Reset})
	to, err := c.ask(c.hosts[0], query{method: http.MethodPost, host: "media.khaosan", path: "/pay", keyed: true, body: 10}, "broken")
	is.NoErr(err)
	is.Equal(to.outcome, "unknown")
}

// hops collects what engines tell of calls. Safe for concurrent use.
type hops struct {
	mu  sync.Mutex
	all []dataplane.Hop
}

// Hop implements dataplane.Observer.
func (h *hops) Hop(hop *dataplane.Hop) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.all = append(h.all, *hop)
}

// outcomes returns those of the hops of a kind.
func (h *hops) outcomes(kind dataplane.HopKind) (os []request.Outcome) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, hop := range h.all {
		if hop.Kind == kind {
			os = append(os, hop.Outcome)
		}
	}
	return os
}

// Symptom: metrics, logs and traces call requests completed whose callers got half
// an answer. Events: a long answer of a target breaks off. Cause: its head was whole.
func TestBrokenStreamIsSeenAsUnknown(t *testing.T) {
	is := is.New(t)
	seen := &hops{}
	c := newCluster(t, threeServices())
	c.obs = seen
	c.add("media-1", chainConfig("media.khaosan", 1_000_000), nil)
	c.publish()
	c.hosts[0].links.target.Arm(faultproxy.Cut{Direction: faultproxy.Answer, After: 500_000, Fault: faultproxy.Reset})
	to, err := c.ask(c.hosts[0], query{method: http.MethodGet, host: "media.khaosan", path: "/m"}, "broken")
	is.NoErr(err)
	is.Equal(to.outcome, "") // it broke visibly
	for _, kind := range []dataplane.HopKind{dataplane.HopServe, dataplane.HopEntry} {
		await(t, "the hop has ended", func() bool { return len(seen.outcomes(kind)) > 0 })
		is.Equal(seen.outcomes(kind), []request.Outcome{request.Unknown})
	}
}
