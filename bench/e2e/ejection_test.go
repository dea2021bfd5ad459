package e2e_test

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"peardrift/bench/standin/target"
	"peardrift/internal/wire"
)

// Symptom: in overload, one of a service's targets gets no calls for seconds and
// the other is full, though both are up and none of their own requests failed.
// Events: a service below refuses; the targets that called it answer 502, one
// request after the other; then come requests that don't need it.
// Cause: the failures are held against the targets that passed them on, and
// their callers eject them.
func TestFailureBelowIsNotHeldAgainstTheTarget(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, threeServices())
	cfg := chainConfig("feed.khaosan", 10)
	cfg.Routes = append([]target.Route{{Prefix: "/deep", Calls: []target.Call{
		{Service: "archive.khaosan", Path: "/a", Required: true}}}}, cfg.Routes...)
	c.add("feed-1", cfg, nil)
	c.add("feed-2", cfg, nil)
	c.publish() // archive has no target
	for i := range 60 {
		resp, _ := call(t, c, "GET", "feed.khaosan", "/deep", fmt.Sprintf("deep-%d", i), nil, nil)
		is.Equal(resp.StatusCode, http.StatusBadGateway)
		is.Equal(resp.Header.Get(wire.HeaderOutcome), "failed")
		is.Equal(resp.Header.Get(wire.HeaderReply), "") // stays between nodes
	}
	const plain = 100 // of two drawn targets at least a quarter fall on each
	for i := range plain {
		resp, _ := call(t, c, "GET", "feed.khaosan", "/plain", fmt.Sprintf("plain-%d", i), nil, nil)
		is.Equal(resp.Header.Get(wire.HeaderOutcome), "completed")
	}
	for _, h := range c.hosts {
		is.True(len(h.target.Counters().Runs[" /"]) > 0) // both targets take calls
	}
}
