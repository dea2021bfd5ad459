package e2e_test

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"peardrift/bench/standin/target"
	"peardrift/internal/wire"
)

// Guards against ejecting a healthy target for the failures of a service that it
// calls: in overload a downstream service refuses, its callers answer 502 and are
// ejected, so that one target gets no calls for seconds while the other is full.
func TestDownstreamFailureDoesNotEjectTarget(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, threeServices())
	cfg := chainConfig("feed.khaosan", 10)
	cfg.Routes = append([]target.Route{{Prefix: "/deep", Calls: []target.Call{
		{Service: "archive.khaosan", Path: "/a", Required: true}}}}, cfg.Routes...)
	c.addHost("feed-1", cfg, nil)
	c.addHost("feed-2", cfg, nil)
	c.publish() // archive has no target
	for i := range 60 {
		resp, _ := call(t, c, "GET", "feed.khaosan", "/deep", fmt.Sprintf("deep-%d", i), nil, nil)
		is.Equal(resp.StatusCode, http.StatusBadGateway)
		is.Equal(resp.Header.Get(wire.HeaderOutcome), "failed")
		is.Equal(resp.Header.Get(wire.HeaderReply), "") // internal to nodes
	}
	const plain = 100 // with a random choice of two targets each gets at least a quarter
	for i := range plain {
		resp, _ := call(t, c, "GET", "feed.khaosan", "/plain", fmt.Sprintf("plain-%d", i), nil, nil)
		is.Equal(resp.Header.Get(wire.HeaderOutcome), "completed")
	}
	for _, h := range c.hosts {
		is.True(len(h.target.Counters().Runs[" /"]) > 0) // both targets receive calls
	}
}
