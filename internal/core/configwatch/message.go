package configwatch

import (
	"time"

	"peardrift/internal/core/request"
)

// Peer is another node of the region.
type Peer struct {
	ID   request.TargetID
	Addr string // address of its control listener
}

// PollRequest is a child's poll.
type PollRequest struct {
	Version int64 `msgpack:"h"` // the child's version, 0 for none
}

// PollReply is the reply to a PollRequest.
type PollReply struct {
	// Version is the parent's version, 0 for none.
	Version int64 `msgpack:"v"`
	// HasWatermark reports whether the parent has a watermark.
	HasWatermark bool `msgpack:"m,omitempty"`
	// WatermarkOffset is the time from the arrival of the poll to the watermark, negative
	// if the watermark is earlier.
	WatermarkOffset time.Duration `msgpack:"s,omitempty"`
}

// Action is an action that the caller must execute.
type Action interface{ action() }

// PollPlatform polls the platform for a version above After, waiting there up to
// Wait. The caller reports the outcome with HandlePlatformReply or HandleFailure
// within Timeout.
type PollPlatform struct {
	ID            uint64
	After         int64
	Wait, Timeout time.Duration
}

// PollPeer sends Request to a peer. The caller reports the outcome with HandleReply
// or HandleFailure within Timeout.
type PollPeer struct {
	ID      uint64
	To      Peer
	Request PollRequest
	Timeout time.Duration
}

// SendReply sends Reply, with the set if Version is above Have, to the child whose
// PollRequest was passed to HandlePoll with this ID.
type SendReply struct {
	ID    uint64
	Have  int64
	Reply PollReply
}

func (PollPlatform) action() {}
func (PollPeer) action()     {}
func (SendReply) action()    {}
