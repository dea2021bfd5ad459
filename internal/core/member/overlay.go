package member

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"peardrift/internal/core/request"
)

// remoteRing is the seed of the rings that link regions; it differs from those
// of the rings within a region, which count from 0.
const remoteRing = 1 << 16

// place is a member's position on a ring.
func place(ring int, id request.TargetID) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:], uint64(ring))
	binary.LittleEndian.PutUint64(b[8:], uint64(id))
	return xxhash.Sum64(b[:])
}

// smallGroup is the group of all small regions; no region has this name, since
// Record.Region is checked to be free of it.
const smallGroup = "\x00small"

// overlay is what a node remembers about its place among the others.
type overlay struct {
	dirty  bool
	sizes  map[string]int // members that are present, by region
	group  string         // the node's own group
	reach  []uint64       // distance to the subject on each ring
	groups map[string]*groupTries
}

func newOverlay() overlay {
	return overlay{dirty: true, sizes: make(map[string]int), groups: make(map[string]*groupTries)}
}

// groupOf returns the group of members that watch each other: those of one
// region, or of all the regions that are too small to watch themselves.
func (s *State) groupOf(region string) string {
	if s.overlay.sizes[region] < s.cfg.SmallRegion {
		return smallGroup
	}
	return region
}

// overlayRegion returns the region that an entry counts in.
func (s *State) overlayRegion(e *entry) (r regionRef) {
	if e != nil && e.present() {
		r = regionRef{e.rec.Region, true}
	}
	return r
}

// regionRef is the region of a member that is present.
type regionRef struct {
	name    string
	present bool
}

// overlayChanged keeps the sizes of regions and finds out whether the node's own
// neighbours may have changed.
func (s *State) overlayChanged(e *entry, was regionRef) {
	is := s.overlayRegion(e)
	if is == was {
		return
	}
	if was.present {
		s.resize(was.name, -1)
	}
	if is.present {
		s.resize(is.name, +1)
	}
	o := &s.overlay
	if l := s.links[e.id]; l != nil && l.roles&(roleSubject|roleRemote) != 0 {
		o.dirty = true
	}
	if !is.present || s.groupOf(is.name) != o.group {
		return
	}
	for r, reach := range o.reach {
		if place(r, e.id)-place(r, s.self.ID) < reach {
			o.dirty = true
		}
	}
}

func (s *State) resize(region string, by int) {
	before := s.groupOf(region)
	s.overlay.sizes[region] += by
	if s.overlay.sizes[region] == 0 {
		delete(s.overlay.sizes, region)
	}
	if s.groupOf(region) != before || s.overlay.groups[before] == nil {
		s.overlay.dirty = true
	}
}

// tickOverlay opens and ends links so that they match the members known.
func (s *State) tickOverlay(now time.Duration) {
	o := &s.overlay
	if o.dirty {
		o.dirty = false
		o.group = s.groupOf(s.self.Region)
		s.tickSubjects(now)
		s.findGroups()
	}
	s.tickRemotes(now)
}

func (s *State) tickSubjects(now time.Duration) {
	if s.stat == Dead {
		return // the links carry the news of it
	}
	subjects := s.neighbours(s.self.ID, s.self.Region, false)
	s.noteReach(subjects)
	for _, l := range append([]*link(nil), s.order...) {
		if l.roles&roleSubject != 0 && !slices.Contains(subjects, l.peer) {
			s.dropRole(l, roleSubject)
		}
	}
	for _, id := range subjects {
		l := s.openLink(now, id, roleSubject)
		if l != nil && l.lastOut == 0 {
			l.due = now + s.jitter(s.cfg.RetryAfter)
		}
	}
}

// noteReach remembers how close a new member must be to become a subject.
func (s *State) noteReach(subjects []request.TargetID) {
	reach := make([]uint64, s.cfg.Rings)
	for r := range reach {
		own := place(r, s.self.ID)
		for _, id := range subjects {
			reach[r] = max(reach[r], place(r, id)-own)
		}
		if len(subjects) < s.cfg.Rings {
			reach[r] = ^uint64(0)
		}
	}
	if len(subjects) == s.cfg.Rings {
		for r, id := range subjects {
			reach[r] = place(r, id) - place(r, s.self.ID)
		}
	}
	s.overlay.reach = reach
}

// nearest keeps the members that follow (or, reversed, precede) a place on a
// ring most closely: as many as there are rings, since the first ones may
// already be taken by other rings.
type nearest struct {
	dist []uint64
	ids  []request.TargetID
}

func (n *nearest) offer(dist uint64, id request.TargetID, limit int) {
	i := len(n.dist)
	for i > 0 && n.dist[i-1] > dist {
		i--
	}
	if i >= limit {
		return
	}
	n.dist = append(n.dist, 0)
	n.ids = append(n.ids, 0)
	copy(n.dist[i+1:], n.dist[i:])
	copy(n.ids[i+1:], n.ids[i:])
	n.dist[i], n.ids[i] = dist, id
	if len(n.dist) > limit {
		n.dist, n.ids = n.dist[:limit], n.ids[:limit]
	}
}

// neighbours returns the members next to id on each ring of its group, all
// different: its subjects or, reversed, its observers.
func (s *State) neighbours(id request.TargetID, region string, reversed bool) []request.TargetID {
	group := s.groupOf(region)
	k := s.cfg.Rings
	near := make([]nearest, k)
	own := make([]uint64, k)
	for r := range own {
		own[r] = place(r, id)
	}
	for i := range s.tab.members {
		e := &s.tab.members[i]
		if e.id == id || !e.present() || s.groupOf(e.rec.Region) != group {
			continue
		}
		for r := range near {
			dist := place(r, e.id) - own[r]
			if reversed {
				dist = -dist
			}
			near[r].offer(dist, e.id, k)
		}
	}
	var out []request.TargetID
	for r := range near {
		out = appendFirstNew(out, near[r].ids)
	}
	return out
}

func appendFirstNew(out, ids []request.TargetID) []request.TargetID {
next:
	for _, id := range ids {
		for _, have := range out {
			if have == id {
				continue next
			}
		}
		return append(out, id)
	}
	return out
}

// remote returns the member of another group that follows id on the ring
// between regions, past those that skip rejects; 0 if there is none.
func (s *State) remote(id request.TargetID, group string, skip func(request.TargetID) bool) request.TargetID {
	var best request.TargetID
	var bestDist uint64
	own := place(remoteRing, id)
	for i := range s.tab.members {
		e := &s.tab.members[i]
		if e.id == id || !e.present() || s.groupOf(e.rec.Region) != group || skip(e.id) {
			continue
		}
		if dist := place(remoteRing, e.id) - own; best == 0 || dist < bestDist {
			best, bestDist = e.id, dist
		}
	}
	return best
}
