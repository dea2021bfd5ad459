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
	// Join requests admission from any member.
	Join
	// Pull requests the next part of the whole state.
	Pull
	// QueryObserver queries another observer about silent subjects.
	QueryObserver
	// Probe checks whether an unreachable member or an unknown seed responds.
	Probe
)

// Message is a request or a reply between two members. It is untrusted input:
// State validates what it uses and ignores the rest.
type Message struct {
	Kind           Kind
	From           request.TargetID
	Incarnation    uint32
	Status         Status // of the sender
	BodyDigest     uint32 // Change.BodyDigest of the sender
	Seq            uint32 // numbers the requests on a link
	AckedSeq       uint32 // the last Seq whose reply was received; acknowledges its items
	StateDigest    uint64 // digest of the sender's whole state
	ReplyItemBytes uint32 // maximum bytes of items in the reply
	Partial        bool   // the sender is still receiving the whole state
	Rejected       bool   // the sender accepts no link or has no capacity; try another member
	Changes        []Change
	Deaths         Deaths
	Recoveries     Recoveries
	Facts          []Fact
	Records        []*Record
	WantedRecords  []request.TargetID // records that the sender is missing
	SilenceReports []SilenceReport
	Digests        []Digest
	Leaves         []Leaf
	After          request.TargetID  // Pull: continue after this member
	More           bool              // reply to Pull: more follows after Next
	Next           request.TargetID  // reply to Pull: where to continue
	Services       []request.Service // Join, Pull: records to send first
	Packed         []byte            // reply to Pull: records, see pack
	Piggyback      []byte            // Heartbeat: piggybacked payload, see PiggybackHandler
}

// SilenceReport reports how long an observer has heard nothing from a subject.
type SilenceReport struct {
	Subject     request.TargetID
	Incarnation uint32
	Silence     uint32 // milliseconds
}

// Digest holds the sums of the children of a node of the digest tree.
type Digest struct {
	Prefix uint32 // the node's path, four bits per level, deepest level last
	Depth  uint8  // 0 for the root
	Sums   []uint32
}

// Leaf lists the sender's entries below a node of the digest tree.
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

// Upper estimates of encoded sizes in bytes, used to size messages. Spend
// receives the actual cost.
const (
	changeSize          = 21
	factSize            = 22 // without the value
	recordSize          = 34 // without the strings
	wantSize            = 9
	doubtSize           = 20
	digestSize          = 88
	leafSize            = 8
	factHeadSize        = 20
	headerSize          = 59
	piggybackHeaderSize = 2 // without the payload
)

func (r *Record) size() int {
	return recordSize + len(r.Name) + len(r.Service) + len(r.Tenant) + len(r.Zone) +
		len(r.Region) + len(r.DataAddr) + len(r.ControlAddr)
}

func (l *Leaf) size() int {
	return leafSize + changeSize*len(l.Changes) + factHeadSize*len(l.Facts)
}

// Size estimates the encoded size of the message in bytes.
func (m *Message) Size() int {
	n := headerSize + changeSize*len(m.Changes) + m.shortFormBytes() + len(m.Packed) + wantSize*len(m.WantedRecords) +
		doubtSize*len(m.SilenceReports) + digestSize*len(m.Digests)
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
	return n + m.piggybackBytes()
}

// Peer is the other side of an exchange. ID is zero for a seed known only by
// its address.
type Peer struct {
	ID          request.TargetID
	ControlAddr string
}

// Action is an action that the caller of State must execute.
type Action interface{ action() }

// Exchange sends one request to a peer. The caller reports the outcome with
// HandleReply or HandleFailure.
type Exchange struct {
	To      Peer
	Msg     *Message
	Timeout time.Duration
	// Once means that the connection need not be kept open afterwards.
	Once bool
}

// Disconnect means that a connection to the peer is no longer needed.
type Disconnect struct{ Peer Peer }

func (Exchange) action()   {}
func (Disconnect) action() {}

// shortFormBytes returns the size of the changes in short form.
func (m *Message) shortFormBytes() int {
	n := deathSize*len(m.Deaths) + backSize*len(m.Recoveries)
	if n > 0 {
		n += shortListSize
	}
	return n
}
