package member

import (
	"slices"
	"time"

	"peardrift/internal/core/request"
)

// groupReachability tracks whether another group responds. Groups do not
// observe each other's members, so no member is removed when two regions lose
// contact; a node only records that it cannot reach the group.
type groupReachability struct {
	excluded    []request.TargetID // members not to be tried for now
	failures    int                // consecutive members that did not respond
	unreachable bool
	removed     bool // the group has no members left
}

// maxExcluded bounds groupReachability.excluded; beyond it, all members are
// tried again.
const maxExcluded = 16

// updateGroups updates the list of groups.
func (s *State) updateGroups() {
	o := &s.overlay
	for _, t := range o.groups {
		t.removed = true
	}
	for region := range o.sizes {
		g := s.groupOf(region)
		if o.groups[g] == nil {
			o.groups[g] = &groupReachability{}
		}
		o.groups[g].removed = false
	}
	for g, t := range o.groups {
		if t.removed {
			delete(o.groups, g)
		}
	}
}

// otherGroups returns the sorted names of the other groups.
func (s *State) otherGroups() []string {
	var out []string
	for g := range s.overlay.groups {
		if g != s.overlay.group {
			out = append(out, g)
		}
	}
	slices.Sort(out)
	return out
}

// tickRemotes maintains one link to each other group.
func (s *State) tickRemotes(now time.Duration) {
	if s.status == Dead {
		return
	}
	linked := make(map[string]bool, 4)
	for _, l := range append([]*link(nil), s.linkOrder...) {
		if l.roles&roleRemote == 0 {
			continue
		}
		e := s.tab.get(l.peer)
		if e == nil || !e.isPresent() || s.groupOf(e.rec.Region) == s.overlay.group {
			s.dropRole(l, roleRemote)
			continue
		}
		g := s.groupOf(e.rec.Region)
		if !linked[g] && now-l.lastHeard < s.remoteTimeout() {
			linked[g] = true
			continue
		}
		s.closeSilentRemote(l, g)
	}
	for _, g := range s.otherGroups() {
		if !linked[g] {
			s.openRemote(now, g)
		}
	}
}

// remoteTimeout is how long a remote link may be silent. It leaves time for
// several attempts after a failed heartbeat: with less, a loss of a fifth of
// the messages made some of 14,000 members consider a region unreachable at any
// time.
func (s *State) remoteTimeout() time.Duration { return s.cfg.RemotePeriod + s.cfg.SuspectAfter }

// closeSilentRemote closes a remote link whose peer does not respond. After
// Config.RegionFailureThreshold such peers in a row the group counts as unreachable.
func (s *State) closeSilentRemote(l *link, group string) {
	t := s.overlay.groups[group]
	if t != nil && !slices.Contains(t.excluded, l.peer) {
		t.excluded = append(t.excluded, l.peer)
		t.failures++
		if t.failures >= s.cfg.RegionFailureThreshold && !t.unreachable {
			t.unreachable = true
			s.view.markAllChanged()
		}
	}
	s.dropRole(l, roleRemote)
}

func (s *State) openRemote(now time.Duration, group string) {
	t := s.overlay.groups[group]
	if t == nil {
		return
	}
	skip := func(id request.TargetID) bool { return slices.Contains(t.excluded, id) }
	id := s.remoteNeighbour(s.self.ID, group, skip)
	if id == 0 || len(t.excluded) >= maxExcluded {
		t.excluded = nil
		return
	}
	if l := s.openLink(now, id, roleRemote); l != nil {
		l.lastHeard = max(l.lastHeard, now)
		l.nextDue = now + s.jitter(s.cfg.RetryInterval)
	}
}

// handleLinkRejected handles a peer that accepts no more links: another one is
// tried, and the region counts as reachable.
func (s *State) handleLinkRejected(now time.Duration, l *link) {
	if l.roles&roleRemote == 0 {
		return
	}
	if t := s.overlay.groups[s.groupOf(s.regionOf(l.peer))]; t != nil {
		t.excluded = append(t.excluded, l.peer)
	}
	s.dropRole(l, roleRemote)
}

// markGroupReachable records that a member of another group was heard.
func (s *State) markGroupReachable(l *link) {
	g := s.groupOf(s.regionOf(l.peer))
	t := s.overlay.groups[g]
	if g == s.overlay.group || t == nil {
		return
	}
	t.failures = 0
	if t.unreachable {
		t.unreachable = false
		s.view.markAllChanged()
	}
	if l.roles&roleRemote != 0 {
		t.excluded = nil
	}
}

// isGroupUnreachable reports whether a region's group is unreachable.
func (s *State) isGroupUnreachable(region string) bool {
	t := s.overlay.groups[s.groupOf(region)]
	return t != nil && t.unreachable
}
