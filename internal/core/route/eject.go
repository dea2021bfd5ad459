package route

// allEjected reports whether the service has targets that can be connected to and
// aren't draining, and all of them are ejected for failures. MaxEjected bounds
// ejections when they happen, not what is left later: if one of two targets is ejected
// and the other one leaves or dies, calls would be refused with status.CodeNoTarget for
// up to EjectMax although the ejected target may have recovered.
func (t *Table) allEjected() bool {
	found := false
	for _, i := range t.all {
		e := &t.entries[i]
		switch {
		case e.Leaving || e.avoid == avoidFailed:
		case e.avoid == avoidNone:
			return false
		default:
			found = true
		}
	}
	return found
}

// pickEjected chooses the cheaper one of two random ejected targets, so that neither
// all calls of one caller nor those of all callers go to the same one. The targets stay
// ejected, so calls move away as soon as another target is available.
func (t *Table) pickEjected(tried *Tried) candidate {
	n := len(t.all)
	first := t.rng.IntN(n)
	c := noCandidate
	found := 0
	for k := range n {
		i := t.all[(first+k)%n]
		e := &t.entries[i]
		if e.avoid != avoidErrors || e.Leaving || e.inFlight >= e.cap || tried.has(i) {
			continue
		}
		c = better(c, candidate{idx: i, rank: refusing, cost: e.cost * float64(1+e.inFlight)})
		if found++; found == 2 {
			break
		}
	}
	return c
}
