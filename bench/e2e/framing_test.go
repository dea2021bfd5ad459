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

// Guards against request smuggling: a malformed chunked body contains bytes that
// look like another request, the first request is refused, and the node continues
// to read the connection although the start of the next request is unknown.
func TestConnectionIsClosedAfterMalformedBody(t *testing.T) {
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
			c.addHost("media-1", chainConfig("media.khaosan", 10), nil)
			c.publish()
			conn, err := net.Dial("tcp", c.hosts[0].entry.Addr())
			is.NoErr(err)
			defer conn.Close()
			_, err = io.WriteString(conn, "POST /m HTTP/1.1\r\nHost: media.khaosan\r\nTransfer-Encoding: chunked\r\n\r\n"+body)
			is.NoErr(err)
			_, _ = io.ReadAll(conn) // until the node closes it
			is.Equal(c.totalRuns(), int64(0))
		})
	}
}

// Guards against a target running a body longer than its class allows because only
// Content-Length is checked, which a chunked body lacks.
func TestChunkedBodyIsBounded(t *testing.T) {
	is := is.New(t)
	const maxBody = 100_000
	c := newCluster(t, configset.NewIndex(configset.Set{Tenant: "khaosan", Version: 1, Share: 1, Services: []configset.Service{
		{Name: "media", Slots: 190, Connections: 1250, Classes: []configset.Class{
			{Name: "media", Path: "/", Importance: 10, Deadline: 2 * time.Second, MaxBody: maxBody},
		}},
	}}))
	c.addHost("media-1", chainConfig("media.khaosan", 10), nil)
	c.publish()
	q := query{method: http.MethodPost, host: "media.khaosan", path: "/m", body: maxBody, chunked: true}
	to, err := c.sendQuery(c.hosts[0], q, "fits")
	is.NoErr(err)
	is.Equal(to.outcome, "completed")
	q.body = 3 * maxBody
	to, err = c.sendQuery(c.hosts[0], q, "too long")
	is.NoErr(err)
	is.True(to.outcome != "completed")
	c.waitIdle()
	is.Equal(c.hosts[0].counters().Finished, int64(1))
}

// Guards against a truncated answer being recorded and replayed to repeats as a
// whole one: the target's answer, too long to be buffered, breaks off.
func TestBrokenAnswerIsNotRecorded(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, threeServices())
	c.addHost("media-1", chainConfig("media.khaosan", 500_000), nil)
	c.publish()
	c.hosts[0].proxies.target.Arm(faultproxy.Cut{Direction: faultproxy.Answer, After: 250_000, Fault: faultproxy.Reset})
	to, err := c.sendQuery(c.hosts[0], query{method: http.MethodPost, host: "media.khaosan", path: "/pay", keyed: true, body: 10}, "broken")
	is.NoErr(err)
	is.Equal(to.outcome, "unknown")
}

// hopRecorder records the hops that engines report. Safe for concurrent use.
type hopRecorder struct {
	mu  sync.Mutex
	all []dataplane.Hop
}

// Hop implements dataplane.Observer.
func (h *hopRecorder) Hop(hop *dataplane.Hop) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.all = append(h.all, *hop)
}

// outcomes returns the outcomes of all hops of a kind.
func (h *hopRecorder) outcomes(kind dataplane.HopKind) (os []request.Outcome) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, hop := range h.all {
		if hop.Kind == kind {
			os = append(os, hop.Outcome)
		}
	}
	return os
}

// Guards against metrics, logs and traces reporting a request as completed whose
// answer broke off after a complete head.
func TestBrokenStreamIsReportedAsUnknown(t *testing.T) {
	is := is.New(t)
	seen := &hopRecorder{}
	c := newCluster(t, threeServices())
	c.observer = seen
	c.addHost("media-1", chainConfig("media.khaosan", 1_000_000), nil)
	c.publish()
	c.hosts[0].proxies.target.Arm(faultproxy.Cut{Direction: faultproxy.Answer, After: 500_000, Fault: faultproxy.Reset})
	to, err := c.sendQuery(c.hosts[0], query{method: http.MethodGet, host: "media.khaosan", path: "/m"}, "broken")
	is.NoErr(err)
	is.Equal(to.outcome, "") // the caller saw the connection break
	for _, kind := range []dataplane.HopKind{dataplane.HopServe, dataplane.HopEntry} {
		await(t, "the hop has ended", func() bool { return len(seen.outcomes(kind)) > 0 })
		is.Equal(seen.outcomes(kind), []request.Outcome{request.Unknown})
	}
}
