package dataplane

// Lifetime is what the own target last said of itself, where targets announce
// themselves. It is immutable.
type Lifetime struct {
	Instance string // names the lifetime; empty: none is known
	Born     int64  // tells its starts under that name apart
	Slots    int
	Takes    bool // it takes calls
}

// SetLifetime puts what the target says in force. When it returns, no call that
// hasn't reached the target yet will reach a lifetime that takes none: those that
// wait at the gate are refused, and each call looks again just before it is sent.
func (e *Engine) SetLifetime(l Lifetime) {
	old := e.lifetime.Swap(&l)
	switch {
	case !l.Takes:
		e.gate.drain()
	case old == nil || !old.Takes || old.Instance != l.Instance || old.Born != l.Born:
		e.gate.resume(l.Slots)
		e.suspects.up()
	default:
		e.gate.setSlots(l.Slots)
	}
}

// OnOther sets what is told that another lifetime than the announced one answers
// at the target's address. Call it before traffic begins; f must not block.
func (e *Engine) OnOther(f func(instance string)) { e.onOther = f }

// takes reports whether the target takes calls now.
func (e *Engine) takes(v *View) bool {
	if l := e.lifetime.Load(); l != nil {
		return l.Takes
	}
	return v.TargetUp
}
