package dataplane

// TargetState is the last announcement of the own target, where targets announce
// themselves. It is immutable.
type TargetState struct {
	Instance     string // name of the instance; empty if unknown
	StartedAt    int64  // start time; distinguishes restarts under the same name
	Slots        int
	AcceptsCalls bool // it accepts calls
}

// SetTargetState applies the target's announcement. After it returns, no call that has
// not reached the target yet is sent to a target that accepts none: calls queued at
// the gate are refused, and each call checks again just before it is sent.
func (e *Engine) SetTargetState(l TargetState) {
	old := e.targetState.Swap(&l)
	switch {
	case !l.AcceptsCalls:
		e.gate.drain()
	case old == nil || !old.AcceptsCalls || old.Instance != l.Instance || old.StartedAt != l.StartedAt:
		e.notice.Store(nil)
		e.speed.reset()
		e.gate.resume(l.Slots)
		e.suspects.targetUp()
	default:
		e.gate.setSlots(l.Slots)
	}
}

// OnOtherInstance sets the function that is called when another instance than the announced
// one answers at the target's address. Call it before traffic begins; f must not
// block.
func (e *Engine) OnOtherInstance(f func(instance string)) { e.onOtherInstance = f }

// acceptsCalls reports whether the target accepts calls now.
func (e *Engine) acceptsCalls(v *View) bool {
	if l := e.targetState.Load(); l != nil {
		return l.AcceptsCalls
	}
	return v.TargetUp
}
