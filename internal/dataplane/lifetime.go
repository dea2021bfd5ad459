package dataplane

// Lifetime is the last announcement of the own target, where targets announce
// themselves. It is immutable.
type Lifetime struct {
	Instance string // name of the instance; empty if unknown
	Born     int64  // start time; distinguishes restarts under the same name
	Slots    int
	Takes    bool // it accepts calls
}

// SetLifetime applies the target's announcement. After it returns, no call that has
// not reached the target yet is sent to a target that accepts none: calls queued at
// the gate are refused, and each call checks again just before it is sent.
func (e *Engine) SetLifetime(l Lifetime) {
	old := e.lifetime.Swap(&l)
	switch {
	case !l.Takes:
		e.gate.drain()
	case old == nil || !old.Takes || old.Instance != l.Instance || old.Born != l.Born:
		e.gate.resume(l.Slots)
		e.suspects.targetUp()
	default:
		e.gate.setSlots(l.Slots)
	}
}

// OnOther sets the function that is called when another instance than the announced
// one answers at the target's address. Call it before traffic begins; f must not
// block.
func (e *Engine) OnOther(f func(instance string)) { e.onOtherInstance = f }

// acceptsCalls reports whether the target accepts calls now.
func (e *Engine) acceptsCalls(v *View) bool {
	if l := e.lifetime.Load(); l != nil {
		return l.Takes
	}
	return v.TargetUp
}
