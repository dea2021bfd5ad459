package member

import (
	"time"

	"peardrift/internal/core/request"
)

// Kind is the purpose of a Message.
type Kind uint8

const (
	// Heartbeat is the push-pull exchange along a link of the overlay.
	Heartbeat Kind = iota
	// Join asks any member to be let in.
	Join
	// Pull asks for the next part of the whole state.
	Pull
	// Ask asks a fellow observer about silent subjects.
	Ask
	// Probe looks whether an unreachable member is back.
	Probe
)

// Message is a request or a reply between two members. It comes from outside:
// State checks what it uses and ignores the rest.
type Message struct {
	Kind        Kind
	From        request.TargetID
	Incarnation uint32
	Status      Status // of the sender
	Body        uint32 // Change.Body of the sender
	Seq         uint32 // numbers the requests on a link
	Got         uint32 // the last Seq whose reply arrived; acknowledges its items
	Root        uint64 // digest of all that the sender knows
	Room        uint32 // bytes of items that the reply may hold
	Partial     bool   // the sender is still receiving the whole state
	Full        bool   // the sender accepts no link; try another member
	Changes     []Change
	Deaths      Deaths
	Backs       Backs
	Facts       []Fact
	Records     []*Record
	Wants       []request.TargetID // records that the sender lacks
	Doubts      []Doubt
	Digests     []Digest
	Leaves      []Leaf
	After       request.TargetID  // Pull: continue after this member
	More        bool              // reply to Pull: there is more after Next
	Next        request.TargetID  // reply to Pull: where to continue
	Services    []request.Service // Join: records wanted first
	Packed      []byte            // reply to Pull: records, see pack
	Load        []byte            // Heartbeat: what rides along, see Rider
}

// Doubt says how long an observer has heard nothing from a subject.
type Doubt struct {
	Subject     request.TargetID
	Incarnation uint32
	Silence     uint32 // milliseconds
}

// Digest holds the sums of the children of a node of the digest tree.
type Digest struct {
	Prefix uint32 // the node's path, four bits a level, deepest level last
	Depth  uint8  // 0 for the root
	Sums   []uint32
}

// Leaf lists what the sender knows below a node of the digest tree.
type Leaf struct {
	Prefix  uint32
	Depth   uint8
	Changes []Change
	Facts   []FactHead
}

// FactHead is a fact without its value.
type FactHead struct {
	Kind    FactKind
	Key     uint64
	Version uint64
}

// Encoded sizes in bytes, rounded up; they size messages. Spend gets the true
// cost afterwards.
const (
	changeSize   = 21
	factSize     = 22 // without the value
	recordSize   = 34 // without the strings
	wantSize     = 9
	doubtSize    = 20
	digestSize   = 88
	leafSize     = 8
	factHeadSize = 20
	headerSize   = 59
	loadSize     = 2 // without the bytes
)

func (r *Record) size() int {
	return recordSize + len(r.Name) + len(r.Service) + len(r.Tenant) + len(r.Zone) +
		len(r.Region) + len(r.Data) + len(r.Control)
}

func (l *Leaf) size() int {
	return leafSize + changeSize*len(l.Changes) + factHeadSize*len(l.Facts)
}

// Size estimates the encoded size of the message in bytes.
func (m *Message) Size() int {
	n := headerSize + changeSize*len(m.Changes) + m.shortBytes() + len(m.Packed) + wantSize*len(m.Wants) +
		doubtSize*len(m.Doubts) + digestSize*len(m.Digests)
	for i := range m.Facts {
		n += factSize + len(m.Facts[i].Value)
	}
	for _, r := range m.Records {
		n += r.size()
	}
	for i := range m.Leaves {
		n += m.Leaves[i].size()
	}
	for _, s := range m.Services {
		n += len(s) + 1
	}
	return n + m.loadBytes()
}

// Peer is whom to talk to. ID is zero for a seed that is only an address.
type Peer struct {
	ID      request.TargetID
	Control string
}

// Action is something that the caller of State must do.
type Action interface{ action() }

// Exchange asks for one request to a peer. The caller reports the outcome with
// HandleReply or HandleFailure.
type Exchange struct {
	To      Peer
	Msg     *Message
	Timeout time.Duration
	// Once says that no connection need be kept for it.
	Once bool
}

// Disconnect says that a connection to the peer is no longer needed.
type Disconnect struct{ Peer Peer }

func (Exchange) action()   {}
func (Disconnect) action() {}

// shortBytes is the size of the changes in short form.
func (m *Message) shortBytes() int {
	n := deathSize*len(m.Deaths) + backSize*len(m.Backs)
	if n > 0 {
		n += shortListSize
	}
	return n
}
