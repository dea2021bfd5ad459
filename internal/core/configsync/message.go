package configsync

import (
	"time"

	"peardrift/internal/core/configset"
	"peardrift/internal/core/request"
)

// Peer identifies a node of the fleet.
type Peer struct {
	ID     request.TargetID
	Region string
	Addr   string // address of its control listener
}

// Ask is a request to a peer.
type Ask struct {
	// Heads asks for the versions that the peer knows; the other fields are
	// then empty.
	Heads bool `msgpack:"a,omitempty"`

	// Want is the version that the sender has learnt of. The peer may reply
	// with a newer one.
	Want configset.Head `msgpack:"w"`

	// Have is the version that the sender holds, 0 for none.
	Have int64 `msgpack:"h,omitempty"`
}

// Reply is the response to an Ask. Without Delta and Whole it means that the
// peer has nothing to send at the moment.
type Reply struct {
	// Head is the version that Delta or Whole produces.
	Head configset.Head `msgpack:"h"`

	// Delta is an encoded configset.Delta from the version that the requester
	// holds.
	Delta []byte `msgpack:"d,omitempty"`

	// Whole is the canonical encoding of the set, compressed.
	Whole []byte `msgpack:"w,omitempty"`

	// Informed reports whether the peer knew the newest versions itself when it
	// sent Heads.
	Informed bool `msgpack:"i,omitempty"`

	// PlatformAge is sent with Heads: they include all versions that the platform had
	// this long ago. 0: unknown.
	PlatformAge time.Duration `msgpack:"p,omitempty"`

	// Heads is the response to Ask.Heads.
	Heads []configset.Head `msgpack:"n,omitempty"`
}

// Action is an operation for the control goroutine to carry out.
type Action interface{ action() }

// AskPeer sends Ask to a peer; report the outcome with HandleReply or
// HandleFailure.
type AskPeer struct {
	ID  uint64
	To  Peer
	Ask Ask
}

// LoadObject reads the set's bytes from the object store; report the outcome
// with HandleLoaded or HandleFailure.
type LoadObject struct {
	ID   uint64
	Head configset.Head
}

// ReadHead reads a tenant's head row; report the outcome with HandleHead or
// HandleFailure.
type ReadHead struct {
	ID     uint64
	Tenant request.Tenant
}

// ReadTenants reads the row of shares, which lists the tenants; report the
// outcome with HandleTenants or HandleFailure.
type ReadTenants struct{ ID uint64 }

// Answer sends Reply to the peer whose Ask was passed to HandleAsk with this
// ID.
type Answer struct {
	ID    uint64
	Reply Reply
}

// Install publishes the index to the traffic path. Head is the set that
// changed, By is the source that it came from.
type Install struct {
	Head  configset.Head
	Index *configset.Index
	By    Source
}

// Source is where a set came from.
type Source string

const (
	ByWatch     Source = "watch"     // read from the platform by this node, see HandlePlatformSet
	ByParent    Source = "parent"    // pushed by the parent in the watch, see HandlePush
	ByHeartbeat Source = "heartbeat" // a delta piggybacked on a peer's heartbeat
	ByPeer      Source = "peer"      // fetched from a peer over a separate connection
	ByObject    Source = "object"    // read from the object store
)

// GossipHead gossips the head as a fact.
type GossipHead struct{ Head configset.Head }

func (AskPeer) action()     {}
func (LoadObject) action()  {}
func (ReadHead) action()    {}
func (ReadTenants) action() {}
func (Answer) action()      {}
func (Install) action()     {}
func (GossipHead) action()  {}
