package member

import (
	"time"

	"peardrift/internal/core/request"
)

// maxLinks bounds the links of a node; each has a bit in item.pending.
const maxLinks = 32

// Roles of a link; a link is open while it has at least one.
const (
	roleSubject uint8 = 1 << iota // the node observes the peer
	roleRemote                    // the peer is in another group
	roleInbound                   // the peer observes the node, or has a remote link to it
	roleExtra                     // another observer asked this node to observe the peer
)

// link is a long-lived relation with one peer. Its bit in item.pending marks
// the items still to be sent on it.
type link struct {
	peer  request.TargetID
	roles uint8
	slot  uint8

	lastHeard  time.Duration // when the peer was last heard, or when the link was opened
	openedAt   time.Duration
	lastOut    time.Duration // last exchange that this node started
	lastIn     time.Duration // last request from the peer
	nextDue    time.Duration // next exchange, if this node starts them
	extraUntil time.Duration // end of roleExtra
	inFlight   bool          // an exchange is in flight
	failing    bool          // the last exchange failed
	lowBudget  bool          // the peer is short of budget: it is sent the minimum

	seq         uint32 // last request sent
	ackedSeq    uint32 // last request that was acknowledged
	sent        []sentItem
	peerSeq     uint32 // sequence number of the peer's last request
	sentInReply []sentItem

	requested []request.TargetID // records that the peer requested
	syncNodes []treeNode         // nodes of the digest tree to send next
	mismatch  int                // consecutive exchanges with differing digests

	suspect       bool               // the peer has been silent for SuspectAfter
	lastAsked     time.Duration      // last time another observer was queried
	observers     []request.TargetID // the peer's observers, as computed at observersAt
	observersAt   time.Duration
	observerIndex int // index of the observer queried last
	votes         map[request.TargetID]vote
}

// sentItem is an item as it was sent, not yet acknowledged.
type sentItem struct {
	it       *item
	revision uint32
}

// vote is what another observer reported about a link's peer.
type vote struct {
	at      time.Duration
	silence time.Duration
}

func (l *link) bit() uint32      { return 1 << l.slot }
func (l *link) isOutgoing() bool { return l.roles&(roleSubject|roleRemote|roleExtra) != 0 }
func (l *link) isObserved() bool { return l.roles&(roleSubject|roleExtra) != 0 }

func (l *link) markHeard(now time.Duration) {
	l.lastHeard = now
	l.failing = false
	l.votes = nil
}

// openLink returns the link to a peer, opening it if there is a free slot.
func (s *State) openLink(now time.Duration, peer request.TargetID, role uint8) *link {
	if l := s.links[peer]; l != nil {
		l.roles |= role
		return l
	}
	for slot, used := range s.slots {
		if used {
			continue
		}
		l := &link{peer: peer, roles: role, slot: uint8(slot), lastHeard: now, openedAt: now}
		s.slots[slot] = true
		s.links[peer] = l
		s.linkOrder = append(s.linkOrder, l)
		s.queue.addLink(l.bit())
		return l
	}
	return nil
}

// dropRole removes one role of a link, and closes the link with its last role.
func (s *State) dropRole(l *link, role uint8) {
	wasOut := l.isOutgoing()
	l.roles &^= role
	if wasOut && !l.isOutgoing() {
		s.actions = append(s.actions, Disconnect{Peer: s.peer(l.peer)})
	}
	if l.roles != 0 {
		return
	}
	if l.suspect {
		s.setSuspect(l, false)
	}
	s.queue.releaseInFlight(l.sent)
	s.queue.releaseInFlight(l.sentInReply)
	s.queue.removeLink(l.bit())
	s.slots[l.slot] = false
	delete(s.links, l.peer)
	for i := range s.linkOrder {
		if s.linkOrder[i] == l {
			s.linkOrder = append(s.linkOrder[:i], s.linkOrder[i+1:]...)
			break
		}
	}
}

// peer returns the ID and address of a member.
func (s *State) peer(id request.TargetID) Peer {
	p := Peer{ID: id}
	if e := s.tab.get(id); e != nil && e.rec != nil {
		p.ControlAddr = e.rec.ControlAddr
	}
	return p
}
