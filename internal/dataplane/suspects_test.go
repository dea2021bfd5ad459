package dataplane

import (
	"testing"

	"github.com/matryer/is"

	"peardrift/internal/core/confset"
	"peardrift/internal/core/request"
	"peardrift/internal/core/suspect"
)

// Symptom: a request crashes more targets than it may.
// Events: it is the first that a target runs after each restart, so that none
// gives a whole answer in between. Cause: after a crash nothing counts until the
// target has been seen to work, and only whole answers showed it.
func TestEachCrashOfTheFirstRequestCounts(t *testing.T) {
	is := is.New(t)
	e, _ := caller(t)
	e.suspects.alive = func() bool { return false }
	var reports []suspect.Report
	e.OnCrash(func(r suspect.Report) { reports = append(reports, r) })
	view := View{Index: confset.NewIndex(), Ready: true, Peers: func(request.Service) []Peer { return nil }}
	for n := range 2 {
		down, up := view, view
		up.TargetUp = true
		e.Publish(&down)
		e.Publish(&up)
		tk, fault := e.suspects.start(suspect.Of(&suspect.Content{URI: "/crash"}))
		is.True(fault == nil)
		e.suspects.end(tk, false, true)
		is.Equal(len(reports), n+1)
	}
}
