package node

import (
	"testing"

	"github.com/matryer/is"
)

// Symptom: calls between nodes end as "may have run" in a surge, and a node logs
// connections turned away. Events: all callers of a target with 267 slots have a
// call there that runs or waits for a slot; each holds a connection. Cause: a
// node had room for fewer connections of other nodes than its gate lets run and
// wait before it refuses.
func TestConnectionsOfNodesHaveRoomForWhatWaits(t *testing.T) {
	is := is.New(t)
	const (
		files   = 4100 // of a small instance
		slots   = 267
		waiting = 3 * slots // as long as calls of 60 ms wait that have 200 ms to spare
	)
	is.True(share(nodesShare, files) >= slots+waiting)
	is.True(share(callersShare, files) >= 1400) // that the last target of a service was seen to hold
	// Each call that runs is sent on, to the target and from it.
	is.True(files-spareFiles-share(nodesShare, files)-share(callersShare, files) >= 4*slots)
}
