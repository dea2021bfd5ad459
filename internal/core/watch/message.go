package watch

import (
	"time"

	"peardrift/internal/core/request"
)

// Peer is another node of the region.
type Peer struct {
	ID   request.TargetID
	Addr string // address of its control listener
}

// Ask is a child's poll.
type Ask struct {
	Have int64 `msgpack:"h"` // the child's version, 0 for none
}

// Reply is the reply to an Ask.
type Reply struct {
	// Version is the parent's version, 0 for none.
	Version int64 `msgpack:"v"`
	// Marked reports whether the parent has a watermark.
	Marked bool `msgpack:"m,omitempty"`
	// Since is the time from the arrival of the poll to the watermark, negative
	// if the watermark is earlier.
	Since time.Duration `msgpack:"s,omitempty"`
}

// Action is an action that the caller must execute.
type Action interface{ action() }

// AskPlatform polls the platform for a version above After, waiting there up to
// Wait. The caller reports the outcome with HandlePlatform or HandleFailure
// within Limit.
type AskPlatform struct {
	ID          uint64
	After       int64
	Wait, Limit time.Duration
}

// AskPeer sends Ask to a peer. The caller reports the outcome with HandleReply
// or HandleFailure within Limit.
type AskPeer struct {
	ID    uint64
	To    Peer
	Ask   Ask
	Limit time.Duration
}

// Answer sends Reply, with the set if Version is above Have, to the child whose
// Ask was passed to HandleAsk with this ID.
type Answer struct {
	ID    uint64
	Have  int64
	Reply Reply
}

func (AskPlatform) action() {}
func (AskPeer) action()     {}
func (Answer) action()      {}
