package scale

import "time"

// Reads counts the reads of platform rows and objects by the configuration of a fleet.
// Rows with seed nodes for joining are not counted, since internal/node reads them and
// not a state machine.
type Reads struct {
	IdleRate     float64       // per second, in the minute before
	MaxPerSecond int           // in the second with the most reads
	Total        int           // total until the limit
	Ready        time.Duration // until all nodes have the configuration in force; negative if over the limit
}

// countReads runs the fleet for d and counts the reads per second.
func (f *Fleet) countReads(d time.Duration, r *Reads) {
	start, before := f.Now, f.totalReads()
	r.Ready = -1
	for end := f.Now + d; f.Now < end; {
		last := f.totalReads()
		f.Run(time.Second)
		r.MaxPerSecond = max(r.MaxPerSecond, f.totalReads()-last)
		if live, known := f.countKnowing(f.configInForce); r.Ready < 0 && known == live {
			r.Ready = f.Now - start
		}
	}
	r.Total = f.totalReads() - before
}

// configInForce reports whether a node has all accepted sets in force.
func (f *Fleet) configInForce(n *Node) bool {
	for _, s := range f.platform.sets {
		if n.config.state.InForce(s.Tenant) < s.Version {
			return false
		}
	}
	return n.config.state.Ready()
}

func (f *Fleet) totalReads() (n int) {
	for _, node := range f.Nodes {
		n += node.config.platformCalls
	}
	return n
}

func (f *Fleet) idleReadRate() float64 {
	before := f.totalReads()
	f.Run(time.Minute)
	return float64(f.totalReads()-before) / time.Minute.Seconds()
}

// ReadsOnReturn kills a zone, restarts all its nodes at once after a minute, and counts
// reads from there on.
func (f *Fleet) ReadsOnReturn(zone string, limit time.Duration) Reads {
	r := Reads{IdleRate: f.idleReadRate()}
	lost := f.KillZone(zone)
	f.Run(time.Minute)
	for _, n := range lost {
		rec := n.Record
		rec.Incarnation += 1000
		f.addConfig(f.startMember(rec))
	}
	f.countReads(limit, &r)
	return r
}

// ReadsAfterOutage makes platform reads fail for the given time, then accepts a change of
// each tenant and counts reads from there on.
func (f *Fleet) ReadsAfterOutage(outage, limit time.Duration) (Reads, error) {
	r := Reads{IdleRate: f.idleReadRate()}
	f.platform.down = true
	f.Run(outage)
	f.platform.down = false
	for i := range f.platform.sets {
		if _, err := f.Accept(i, 1); err != nil {
			return r, err
		}
	}
	f.countReads(limit, &r)
	return r, nil
}

// ReadsOnStart resets the configuration of all nodes at once, as at a start of the whole
// fleet, and counts reads from there on.
func (f *Fleet) ReadsOnStart(limit time.Duration) Reads {
	r := Reads{IdleRate: f.idleReadRate()}
	for _, n := range f.Nodes {
		calls := n.config.platformCalls
		f.addConfig(n)
		n.config.platformCalls = calls
	}
	f.countReads(limit, &r)
	return r
}
