package dataplane

import (
	"testing"

	"github.com/matryer/is"

	"peardrift/internal/core/configset"
	"peardrift/internal/core/request"
	"peardrift/internal/core/suspect"
)

// Guards against ignoring a crash that follows a restart without a complete answer in
// between: a request that is always the first one to run could then crash more targets
// than allowed.
func TestCrashByFirstRequestAfterRestartCounts(t *testing.T) {
	is := is.New(t)
	e, _ := newCaller(t)
	e.suspects.targetReachable = func() bool { return false }
	var reports []suspect.Report
	e.OnCrash(func(r suspect.Report) { reports = append(reports, r) })
	view := View{Index: configset.NewIndex(), Ready: true, Peers: func(request.Service) []Peer { return nil }}
	for n := range 2 {
		down, up := view, view
		up.TargetUp = true
		e.Publish(&down)
		e.Publish(&up)
		tk, fault := e.suspects.start(suspect.FingerprintOf(&suspect.Content{URI: "/crash"}))
		is.True(fault == nil)
		e.suspects.end(tk, false, true)
		is.Equal(len(reports), n+1)
	}
}
