package e2e_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"peardrift/internal/core/request"
	"peardrift/internal/core/suspect"
)

// reportCrashes reports crashes with requests for paths in flight to a host's node.
func (h *host) reportCrashes(crashes int, paths ...string) {
	for n := range crashes {
		r := suspect.Report{Crash: suspect.CrashID{Target: request.TargetIDOf(paths[0]), Incarnation: uint64(n)}, InFlight: len(paths)}
		for _, path := range paths {
			r.Fingerprints = append(r.Fingerprints, suspect.FingerprintOf(&suspect.Content{
				Tenant: "khaosan", Service: h.svc, Method: http.MethodGet, URI: path, Size: -2,
			}))
		}
		h.engine.MergeSuspects(r)
	}
}

// Guards against a caller giving up an innocent request: it was in flight at two
// crashes and is resent while another suspect runs on the target, and the temporary
// refusal has the code of the final one, meant for requests that crash targets.
func TestRefusalOfQueuedSuspectIsTemporary(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, threeServices())
	c.addHost("feed-1", chainConfig("feed.khaosan", 10), nil)
	cfg := chainConfig("media.khaosan", 10)
	cfg.ServiceTime = time.Second
	media := c.addHost("media-1", cfg, nil)
	c.publish()
	media.reportCrashes(2, "/first", "/second")
	first := make(chan string)
	go func() {
		resp, _ := call(t, c, http.MethodGet, "media.khaosan", "/first", "one", nil, nil)
		first <- resp.Header.Get("Peardrift-Outcome")
	}()
	await(t, "the first suspect runs", func() bool { return media.counters().InFlight > 0 })
	resp, _ := call(t, c, http.MethodGet, "media.khaosan", "/second", "two", nil, nil)
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.Equal(resp.Header.Get("Peardrift-Outcome"), request.Refused.String())
	is.Equal(resp.Header.Get("Peardrift-Code"), "isolation-busy")
	is.Equal(resp.Header.Get("Retry-After"), "1")
	is.Equal(<-first, "completed")
	is.Equal(media.counters().Started, int64(1))
	to, err := c.sendQuery(c.hosts[0], query{method: http.MethodGet, host: "media.khaosan", path: "/second"}, "again")
	is.NoErr(err)
	is.Equal(to.outcome, "completed")

	media.reportCrashes(3, "/culprit")
	resp, _ = call(t, c, http.MethodGet, "media.khaosan", "/culprit", "three", nil, nil)
	is.Equal(resp.Header.Get("Peardrift-Code"), "suspected-of-crashing-targets")
	is.Equal(resp.Header.Get("Retry-After"), "")
	is.Equal(media.counters().Started, int64(2))
}
