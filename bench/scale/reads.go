package scale

import "time"

// Reads is what a fleet's configuration reads of the platform, rows and objects,
// in one case. Rows that name nodes to join through are not counted: they are read
// by the node and not by a state machine, see internal/node.
type Reads struct {
	Rest  float64       // a second, in the minute before
	Most  int           // in the dearest second
	Sum   int           // in all, until the limit
	Ready time.Duration // until all nodes have the configuration in force; negative: not within the limit
}

// readsWhile runs the fleet for d and counts what is read in each second.
func (f *Fleet) readsWhile(d time.Duration, r *Reads) {
	start, before := f.Now, f.reads()
	r.Ready = -1
	for end := f.Now + d; f.Now < end; {
		last := f.reads()
		f.Run(time.Second)
		r.Most = max(r.Most, f.reads()-last)
		if live, known := f.count(f.inForce); r.Ready < 0 && known == live {
			r.Ready = f.Now - start
		}
	}
	r.Sum = f.reads() - before
}

// inForce reports whether a node has all that is accepted in force.
func (f *Fleet) inForce(n *Node) bool {
	for _, s := range f.platform.sets {
		if n.conf.state.InForce(s.Tenant) < s.Version {
			return false
		}
	}
	return n.conf.state.Ready()
}

func (f *Fleet) reads() (n int) {
	for _, node := range f.Nodes {
		n += node.conf.calls
	}
	return n
}

func (f *Fleet) restingReads() float64 {
	before := f.reads()
	f.Run(time.Minute)
	return float64(f.reads()-before) / time.Minute.Seconds()
}

// ReadsOnReturn loses a zone for a minute and starts its nodes again at once.
func (f *Fleet) ReadsOnReturn(zone string, limit time.Duration) Reads {
	r := Reads{Rest: f.restingReads()}
	lost := f.KillZone(zone)
	f.Run(time.Minute)
	for _, n := range lost {
		rec := n.Rec
		rec.Incarnation += 1000
		f.addConf(f.start(rec))
	}
	f.readsWhile(limit, &r)
	return r
}

// ReadsAfterOutage makes the platform fail for some time, accepts a change of each
// tenant at its end, and counts from there on.
func (f *Fleet) ReadsAfterOutage(outage, limit time.Duration) (Reads, error) {
	r := Reads{Rest: f.restingReads()}
	f.platform.down = true
	f.Run(outage)
	f.platform.down = false
	for i := range f.platform.sets {
		if _, err := f.Accept(i, 1); err != nil {
			return r, err
		}
	}
	f.readsWhile(limit, &r)
	return r, nil
}

// ReadsOnStart starts the configuration anew on all nodes at once, as when the
// whole fleet begins.
func (f *Fleet) ReadsOnStart(limit time.Duration) Reads {
	r := Reads{Rest: f.restingReads()}
	for _, n := range f.Nodes {
		calls := n.conf.calls
		f.addConf(n)
		n.conf.calls = calls
	}
	f.readsWhile(limit, &r)
	return r
}
