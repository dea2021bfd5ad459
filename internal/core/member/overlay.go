package member

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"peardrift/internal/core/request"
)

// remoteRing is the seed of the ring that links regions; it differs from those
// of the rings within a region, which count from 0.
const remoteRing = 1 << 16

// ringPosition returns a member's position on a ring.
func ringPosition(ring int, id request.TargetID) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:], uint64(ring))
	binary.LittleEndian.PutUint64(b[8:], uint64(id))
	return xxhash.Sum64(b[:])
}

// smallRegionsGroup is the group of all small regions. No region has this name,
// since Record.Region is checked not to contain it.
const smallRegionsGroup = "\x00small"

// overlay holds a node's position in the overlay and the groups it knows of.
type overlay struct {
	dirty            bool
	sizes            map[string]int // number of present members by region
	group            string         // the node's own group
	subjectDistances []uint64       // distance to the subject on each ring
	groups           map[string]*groupReachability
}

func newOverlay() overlay {
	return overlay{dirty: true, sizes: make(map[string]int), groups: make(map[string]*groupReachability)}
}

// groupOf returns the group of members that observe each other: those of one
// region, or of all the regions that are too small to observe themselves.
func (s *State) groupOf(region string) string {
	if s.overlay.sizes[region] < s.cfg.MinRegionSize {
		return smallRegionsGroup
	}
	return region
}

// presentRegion returns the region that counts an entry as present.
func (s *State) presentRegion(e *entry) (r regionRef) {
	if e != nil && e.isPresent() {
		r = regionRef{e.rec.Region, true}
	}
	return r
}

// regionRef is the region of a member that is present.
type regionRef struct {
	name    string
	present bool
}

// updateOverlay maintains the sizes of regions and marks the overlay dirty if
// the node's own neighbours may have changed.
func (s *State) updateOverlay(e *entry, before regionRef) {
	after := s.presentRegion(e)
	if after == before {
		return
	}
	if before.present {
		s.adjustRegionSize(before.name, -1)
	}
	if after.present {
		s.adjustRegionSize(after.name, +1)
	}
	o := &s.overlay
	if l := s.links[e.id]; l != nil && l.roles&(roleSubject|roleRemote) != 0 {
		o.dirty = true
	}
	if !after.present || s.groupOf(after.name) != o.group {
		return
	}
	for r, reach := range o.subjectDistances {
		if ringPosition(r, e.id)-ringPosition(r, s.self.ID) < reach {
			o.dirty = true
		}
	}
}

func (s *State) adjustRegionSize(region string, by int) {
	before := s.groupOf(region)
	s.overlay.sizes[region] += by
	if s.overlay.sizes[region] == 0 {
		delete(s.overlay.sizes, region)
	}
	if s.groupOf(region) != before || s.overlay.groups[before] == nil {
		s.overlay.dirty = true
	}
}

// tickOverlay opens and closes links to match the known members.
func (s *State) tickOverlay(now time.Duration) {
	o := &s.overlay
	if o.dirty {
		o.dirty = false
		o.group = s.groupOf(s.self.Region)
		s.updateSubjects(now)
		s.updateGroups()
	}
	s.tickRemotes(now)
}

func (s *State) updateSubjects(now time.Duration) {
	if s.status == Dead {
		return // the open links still carry the departure
	}
	subjects := s.neighbours(s.self.ID, s.self.Region, false)
	s.updateSubjectDistances(subjects)
	for _, l := range append([]*link(nil), s.linkOrder...) {
		if l.roles&roleSubject != 0 && !slices.Contains(subjects, l.peer) {
			s.dropRole(l, roleSubject)
		}
	}
	for _, id := range subjects {
		l := s.openLink(now, id, roleSubject)
		if l != nil && l.lastOut == 0 {
			l.nextDue = now + s.jitter(s.cfg.RetryInterval)
		}
	}
}

// updateSubjectDistances records how close a new member must be to become a
// subject.
func (s *State) updateSubjectDistances(subjects []request.TargetID) {
	reach := make([]uint64, s.cfg.Rings)
	for r := range reach {
		own := ringPosition(r, s.self.ID)
		for _, id := range subjects {
			reach[r] = max(reach[r], ringPosition(r, id)-own)
		}
		if len(subjects) < s.cfg.Rings {
			reach[r] = ^uint64(0)
		}
	}
	if len(subjects) == s.cfg.Rings {
		for r, id := range subjects {
			reach[r] = ringPosition(r, id) - ringPosition(r, s.self.ID)
		}
	}
	s.overlay.subjectDistances = reach
}

// nearest holds the members that follow (or, reversed, precede) a ring position
// most closely: as many as there are rings, since other rings may already use
// the first ones.
type nearest struct {
	dist []uint64
	ids  []request.TargetID
}

func (n *nearest) insert(dist uint64, id request.TargetID, limit int) {
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

// neighbours returns the members next to id on each ring of its group, without
// duplicates: its subjects or, reversed, its observers.
func (s *State) neighbours(id request.TargetID, region string, reversed bool) []request.TargetID {
	group := s.groupOf(region)
	k := s.cfg.Rings
	near := make([]nearest, k)
	own := make([]uint64, k)
	for r := range own {
		own[r] = ringPosition(r, id)
	}
	for i := range s.tab.members {
		e := &s.tab.members[i]
		if e.id == id || !e.isPresent() || s.groupOf(e.rec.Region) != group {
			continue
		}
		for r := range near {
			dist := ringPosition(r, e.id) - own[r]
			if reversed {
				dist = -dist
			}
			near[r].insert(dist, e.id, k)
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

// remoteNeighbour returns the member of another group that follows id on the
// ring between regions, ignoring those for which skip returns true; 0 if there
// is none.
func (s *State) remoteNeighbour(id request.TargetID, group string, skip func(request.TargetID) bool) request.TargetID {
	var best request.TargetID
	var bestDist uint64
	own := ringPosition(remoteRing, id)
	for i := range s.tab.members {
		e := &s.tab.members[i]
		if e.id == id || !e.isPresent() || s.groupOf(e.rec.Region) != group || skip(e.id) {
			continue
		}
		if dist := ringPosition(remoteRing, e.id) - own; best == 0 || dist < bestDist {
			best, bestDist = e.id, dist
		}
	}
	return best
}
