package dataplane

// probe is one test connection to a target whose connections broke.
type probe struct {
	callee *callee
	idx    int
	addr   string
}

// ProbeTargets tries a new connection to each target whose connections broke and that
// is due for a probe, so that a recovered target is found without spending a call on
// it. submit runs a function on another goroutine. Call it several times a second.
func (e *Engine) ProbeTargets(submit func(func()) error) {
	for _, p := range e.dueProbes() {
		run := func() { p.callee.probed(p.idx, e.peers.Reachable(p.addr)) }
		if submit(run) != nil {
			p.callee.probed(p.idx, false)
		}
	}
}

func (e *Engine) dueProbes() []probe {
	e.mu.Lock()
	defer e.mu.Unlock()
	var due []probe
	for _, cl := range e.callees {
		if p, ok := cl.nextProbe(); ok {
			due = append(due, p)
		}
	}
	return due
}

func (cl *callee) nextProbe() (probe, bool) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	idx, ok := cl.table.NextProbe(cl.now())
	if !ok {
		return probe{}, false
	}
	return probe{callee: cl, idx: idx, addr: cl.addrs[cl.table.Target(idx).ID]}, true
}

func (cl *callee) probed(idx int, connected bool) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.table.ProbeDone(cl.now(), idx, connected)
}
