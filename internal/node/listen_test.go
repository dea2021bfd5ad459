package node

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against calls between nodes that end with an unknown outcome in a surge: each
// call that runs or waits for one of a target's 267 slots holds a connection, and a node
// allowed fewer connections from other nodes than its gate lets run and wait.
func TestNodeConnectionShareCoversRunningAndQueuedCalls(t *testing.T) {
	is := is.New(t)
	const (
		files   = 4100 // descriptor limit of a small instance
		slots   = 267
		waiting = 3 * slots // calls of 60 ms that can wait 200 ms
	)
	is.True(descriptorShare(nodesShare, files) >= slots+waiting)
	is.True(descriptorShare(callersShare, files) >= 1400) // observed at the last remaining target of a service
	// Each running call has a connection to the target and one from it.
	is.True(files-reservedDescriptors-descriptorShare(nodesShare, files)-descriptorShare(callersShare, files) >= 4*slots)
}
