package member

import (
	"slices"
	"time"

	"peardrift/internal/core/request"
)

// groupTries follows how another group answers. Groups don't observe each
// other's members, so that two regions that lose each other forget nobody; all
// a node notes is that it can't reach the group.
type groupTries struct {
	failed []request.TargetID // members not to be tried again for now
	silent int                // members in a row that didn't answer
	lost   bool
	gone   bool // the group has no members any more
}

// maxTries bounds groupTries.failed; after that many the first is tried again.
const maxTries = 16

// findGroups brings the list of the other groups up to date.
func (s *State) findGroups() {
	o := &s.overlay
	for _, t := range o.groups {
		t.gone = true
	}
	for region := range o.sizes {
		g := s.groupOf(region)
		if o.groups[g] == nil {
			o.groups[g] = &groupTries{}
		}
		o.groups[g].gone = false
	}
	for g, t := range o.groups {
		if t.gone {
			delete(o.groups, g)
		}
	}
}

// otherGroups returns the names of the other groups in order.
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

// tickRemotes keeps one link to each other group.
func (s *State) tickRemotes(now time.Duration) {
	if s.stat == Dead {
		return
	}
	linked := make(map[string]bool, 4)
	for _, l := range append([]*link(nil), s.order...) {
		if l.roles&roleRemote == 0 {
			continue
		}
		e := s.tab.get(l.peer)
		if e == nil || !e.present() || s.groupOf(e.rec.Region) == s.overlay.group {
			s.dropRole(l, roleRemote)
			continue
		}
		g := s.groupOf(e.rec.Region)
		if !linked[g] && now-l.heard < s.remotePatience() {
			linked[g] = true
			continue
		}
		s.giveUp(l, g)
	}
	for _, g := range s.otherGroups() {
		if !linked[g] {
			s.openRemote(now, g)
		}
	}
}

// remotePatience is how long a remote link may be silent. It leaves room for
// several attempts after a heartbeat that failed: with less, a fifth of the
// messages lost made some of 14,000 members take a region for lost at any time.
func (s *State) remotePatience() time.Duration { return s.cfg.RemotePeriod + s.cfg.SuspectAfter }

// giveUp ends a remote link whose peer doesn't answer. Several such peers in a
// row mean that the group can't be reached.
func (s *State) giveUp(l *link, group string) {
	t := s.overlay.groups[group]
	if t != nil && !slices.Contains(t.failed, l.peer) {
		t.failed = append(t.failed, l.peer)
		t.silent++
		if t.silent >= s.cfg.RegionTries && !t.lost {
			t.lost = true
			s.view.touchAll()
		}
	}
	s.dropRole(l, roleRemote)
}

func (s *State) openRemote(now time.Duration, group string) {
	t := s.overlay.groups[group]
	if t == nil {
		return
	}
	skip := func(id request.TargetID) bool { return slices.Contains(t.failed, id) }
	id := s.remote(s.self.ID, group, skip)
	if id == 0 || len(t.failed) >= maxTries {
		t.failed = nil
		return
	}
	if l := s.openLink(now, id, roleRemote); l != nil {
		l.heard = max(l.heard, now)
		l.due = now + s.jitter(s.cfg.RetryAfter)
	}
}

// refused handles a peer that takes no more links: the next one is tried, and
// the region counts as reachable.
func (s *State) refused(now time.Duration, l *link) {
	if l.roles&roleRemote == 0 {
		return
	}
	if t := s.overlay.groups[s.groupOf(s.regionOf(l.peer))]; t != nil {
		t.failed = append(t.failed, l.peer)
	}
	s.dropRole(l, roleRemote)
}

// reached notes that a member of another group was heard.
func (s *State) reached(l *link) {
	g := s.groupOf(s.regionOf(l.peer))
	t := s.overlay.groups[g]
	if g == s.overlay.group || t == nil {
		return
	}
	t.silent = 0
	if t.lost {
		t.lost = false
		s.view.touchAll()
	}
	if l.roles&roleRemote != 0 {
		t.failed = nil
	}
}

// unreachableGroup reports whether a region's group can't be reached.
func (s *State) unreachableGroup(region string) bool {
	t := s.overlay.groups[s.groupOf(region)]
	return t != nil && t.lost
}
