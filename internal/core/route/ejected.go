package route

// allEjected reports whether the service has targets that can be connected to
// and don't leave, and all of these are ejected for failures.
//
// Symptom otherwise: calls are refused with status.CodeNoTarget for up to
// EjectMax although a target stands there, which may long have recovered. Events:
// one of two targets is ejected, then the other one leaves or dies. MaxEjected
// bounds what is ejected at a time, not what is left later.
func (t *Table) allEjected() bool {
	found := false
	for _, i := range t.all {
		e := &t.entries[i]
		switch {
		case e.Leaving || e.avoid == avoidBroken:
		case e.avoid == avoidNot:
			return false
		default:
			found = true
		}
	}
	return found
}

// lastResort chooses among ejected targets: the cheaper one of two random ones,
// so that neither all calls of a caller nor those of all callers go to the same.
// They stay ejected, so calls go elsewhere as soon as there is another target.
func (t *Table) lastResort(tried *Tried) choice {
	n := len(t.all)
	first := t.rng.IntN(n)
	c := none
	found := 0
	for k := range n {
		i := t.all[(first+k)%n]
		e := &t.entries[i]
		if e.avoid != avoidErrors || e.Leaving || e.inFlight >= e.cap || tried.has(i) {
			continue
		}
		c = better(c, choice{idx: i, rank: refuses, cost: e.cost * float64(1+e.inFlight)})
		if found++; found == 2 {
			break
		}
	}
	return c
}
