package inforce

import (
	"peardrift/internal/core/confset"
	"peardrift/internal/core/request"
)

// Peer is another node.
type Peer struct {
	ID     request.TargetID
	Region string
	Addr   string // of its control listener
}

// Ask is what a node asks a peer.
type Ask struct {
	// Heads asks which versions the peer knows; the other fields are empty.
	Heads bool `msgpack:"a,omitempty"`

	// Want names the version that the asker has heard of. The peer may answer
	// with a newer one.
	Want confset.Head `msgpack:"w"`

	// Have is the version that the asker holds, 0 for none.
	Have int64 `msgpack:"h,omitempty"`
}

// Reply answers an Ask. One without Delta and Whole says that the peer can't
// help at the moment.
type Reply struct {
	// Head is the version that Delta or Whole leads to.
	Head confset.Head `msgpack:"h"`

	// Delta is an encoded confset.Delta since the version that the asker holds.
	Delta []byte `msgpack:"d,omitempty"`

	// Whole is the set's canonical bytes, compressed.
	Whole []byte `msgpack:"w,omitempty"`

	// Informed says that the peer had learnt the newest versions itself when it
	// told Heads.
	Informed bool `msgpack:"i,omitempty"`

	// Heads answers Ask.Heads.
	Heads []confset.Head `msgpack:"n,omitempty"`
}

// Action is something for the control goroutine to do.
type Action interface{ action() }

// AskPeer: send Ask to a peer; report by HandleReply or HandleFailure.
type AskPeer struct {
	ID  uint64
	To  Peer
	Ask Ask
}

// LoadObject: fetch the set's bytes from the object store; report by
// HandleLoaded or HandleFailure.
type LoadObject struct {
	ID   uint64
	Head confset.Head
}

// ReadHead: read a tenant's head row; report by HandleHead or HandleFailure.
type ReadHead struct {
	ID     uint64
	Tenant request.Tenant
}

// ReadTenants: read the share ledger, which lists the tenants; report by
// HandleTenants or HandleFailure.
type ReadTenants struct{ ID uint64 }

// Answer: send Reply to the peer whose Ask was passed to HandleAsk with this ID.
type Answer struct {
	ID    uint64
	Reply Reply
}

// Install: publish the index to traffic. Head is what changed in it, By the way by
// which it came.
type Install struct {
	Head  confset.Head
	Index *confset.Index
	By    Source
}

// Source is the way by which a set came to this node.
type Source string

const (
	ByWatch     Source = "watch"     // offered: read at the platform, which told of it
	ByParent    Source = "parent"    // given by the parent in the watch
	ByHeartbeat Source = "heartbeat" // a delta along with a peer's heartbeat
	ByPeer      Source = "peer"      // asked for over a connection of its own
	ByObject    Source = "object"    // read at the object store
)

// Spread: gossip the head as a fact.
type Spread struct{ Head confset.Head }

func (AskPeer) action()     {}
func (LoadObject) action()  {}
func (ReadHead) action()    {}
func (ReadTenants) action() {}
func (Answer) action()      {}
func (Install) action()     {}
func (Spread) action()      {}
