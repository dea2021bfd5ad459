package member

import (
	"time"

	"peardrift/internal/core/request"
)

// maxLinks bounds the links of a node; each has a bit in item.links.
const maxLinks = 32

// Reasons for which a node keeps up a link.
const (
	roleSubject uint8 = 1 << iota // the node observes the peer
	roleRemote                    // the peer is in another group
	roleGuest                     // the peer observes the node, or is remote to it
	roleExtra                     // asked by another observer to look at the peer
)

// link is a long-lived relation with one peer. Its peer has a bit in the masks
// of the items that wait.
type link struct {
	peer  request.TargetID
	roles uint8
	slot  uint8

	heard   time.Duration // the peer's last sign of life, or when the link began
	began   time.Duration
	lastOut time.Duration // last exchange that this node began
	lastIn  time.Duration // last request of the peer
	due     time.Duration // next exchange, if this node begins them
	until   time.Duration // end of roleExtra
	busy    bool          // an exchange is under way
	failing bool          // the last exchange failed
	poor    bool          // the peer is short of budget: it gets no more than it must

	seq     uint32 // last request sent
	got     uint32 // last request that was answered
	sent    []sentItem
	inSeq   uint32 // the peer's last request
	replied []sentItem

	owed     []request.TargetID // records that the peer wants
	sync     []node             // nodes of the digest tree to send next
	mismatch int                // exchanges in a row with differing digests

	suspect   bool               // the peer is silent
	asked     time.Duration      // last time another observer was asked
	observers []request.TargetID // the peer's observers, as worked out at observed
	observed  time.Duration
	turn      int // the observer asked last
	votes     map[request.TargetID]vote
}

// sentItem is an item as it was sent and not yet acknowledged.
type sentItem struct {
	it   *item
	turn uint32
}

// vote is what another observer said about a link's peer.
type vote struct {
	at      time.Duration
	silence time.Duration
}

func (l *link) bit() uint32    { return 1 << l.slot }
func (l *link) outgoing() bool { return l.roles&(roleSubject|roleRemote|roleExtra) != 0 }
func (l *link) watched() bool  { return l.roles&(roleSubject|roleExtra) != 0 }

func (l *link) hear(now time.Duration) {
	l.heard = now
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
		l := &link{peer: peer, roles: role, slot: uint8(slot), heard: now, began: now}
		s.slots[slot] = true
		s.links[peer] = l
		s.order = append(s.order, l)
		s.queue.join(l.bit())
		return l
	}
	return nil
}

// dropRole ends one reason for a link, and the link with the last of them.
func (s *State) dropRole(l *link, role uint8) {
	wasOut := l.outgoing()
	l.roles &^= role
	if wasOut && !l.outgoing() {
		s.actions = append(s.actions, Disconnect{Peer: s.peer(l.peer)})
	}
	if l.roles != 0 {
		return
	}
	if l.suspect {
		s.setSuspect(l, false)
	}
	s.queue.void(l.sent)
	s.queue.void(l.replied)
	s.queue.leave(l.bit())
	s.slots[l.slot] = false
	delete(s.links, l.peer)
	for i := range s.order {
		if s.order[i] == l {
			s.order = append(s.order[:i], s.order[i+1:]...)
			break
		}
	}
}

// peer returns the address of a member.
func (s *State) peer(id request.TargetID) Peer {
	p := Peer{ID: id}
	if e := s.tab.get(id); e != nil && e.rec != nil {
		p.Control = e.rec.Control
	}
	return p
}
