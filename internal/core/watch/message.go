package watch

import (
	"time"

	"peardrift/internal/core/request"
)

// Peer is another node.
type Peer struct {
	ID   request.TargetID
	Addr string // of its control listener
}

// Ask is a child's question.
type Ask struct {
	Have int64 `msgpack:"h"` // the version that the child holds, 0 for none
}

// Reply answers an Ask.
type Reply struct {
	// Version is what the parent holds, 0 for none.
	Version int64 `msgpack:"v"`
	// Marked says that the parent has a mark.
	Marked bool `msgpack:"m,omitempty"`
	// Since is the time from the question's arrival to the mark, negative for a
	// mark from before.
	Since time.Duration `msgpack:"s,omitempty"`
}

// Action is something for the caller to do.
type Action interface{ action() }

// AskPlatform: ask the platform for a version above After, waiting there up to
// Wait; report by HandlePlatform or HandleFailure within Limit.
type AskPlatform struct {
	ID          uint64
	After       int64
	Wait, Limit time.Duration
}

// AskPeer: send Ask to a peer; report by HandleReply or HandleFailure within Limit.
type AskPeer struct {
	ID    uint64
	To    Peer
	Ask   Ask
	Limit time.Duration
}

// Answer: send Reply, with the set if Version is above Have, to the child whose Ask
// was passed to HandleAsk with this ID.
type Answer struct {
	ID    uint64
	Have  int64
	Reply Reply
}

func (AskPlatform) action() {}
func (AskPeer) action()     {}
func (Answer) action()      {}
