package platform

import "sync"

// Faults are the faults injected into the platform. The zero value injects none.
type Faults struct {
	// Down resets the connection of each call without executing the call.
	Down bool `json:"down"`
	// DelayMS delays each answer, after the call has taken effect.
	DelayMS int `json:"delay_ms"`
	// DelayApplyMS delays the effect of each call, which takes place even if the
	// client has disconnected.
	DelayApplyMS int `json:"delay_apply_ms"`
	// DropReplyEvery N resets the connection of each Nth write since the faults
	// were set, after it has taken effect; 0: none.
	DropReplyEvery int `json:"lose_answer_every"`
	// RefuseWrites rejects writes with the service's access-denied error.
	RefuseWrites bool `json:"refuse_writes"`
	// Throttle rejects each call with the service's throttling error.
	Throttle bool `json:"throttle"`
}

// Counters are the counters that GET /control/counters reports.
type Counters struct {
	// Reads and Writes count the calls that were executed, a transaction as one
	// write. Items counts the rows and objects of writes, which is what the
	// platform bills.
	Reads  int64 `json:"reads"`
	Writes int64 `json:"writes"`
	Items  int64 `json:"items"`
	// Conflicts counts the writes whose condition did not hold.
	Conflicts int64 `json:"conflicts"`
	// Denied counts calls that were throttled, denied or reset without effect.
	Denied int64 `json:"denied"`
	// Lost counts writes that took effect but whose answer was dropped.
	Lost int64 `json:"lost"`
}

// faultState holds the faults and the counters under one lock, so that which write
// is the Nth does not depend on how calls interleave.
type faultState struct {
	mu             sync.Mutex
	faults         Faults
	writesSinceSet int // writes since the faults were set
	counts         Counters
}

func (l *faultState) set(f Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults, l.writesSinceSet = f, 0
}

func (l *faultState) get() Faults {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults
}

func (l *faultState) update(f func(*Counters)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(&l.counts)
}

func (l *faultState) counters() Counters {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts
}

// recordWrite counts a write that took effect and reports whether its answer is
// dropped.
func (l *faultState) recordWrite() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.writesSinceSet++
	if n := l.faults.DropReplyEvery; n == 0 || l.writesSinceSet%n != 0 {
		return false
	}
	l.counts.Lost++
	return true
}
