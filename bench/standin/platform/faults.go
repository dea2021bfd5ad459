package platform

import "sync"

// Faults is what is wrong with the platform. The zero value is a healthy one.
type Faults struct {
	// Down breaks the connection of each call, which does nothing.
	Down bool `json:"down"`
	// DelayMS holds each answer back, after the call took effect.
	DelayMS int `json:"delay_ms"`
	// DelayApplyMS lets a call take effect late, also if its client has gone.
	DelayApplyMS int `json:"delay_apply_ms"`
	// LoseAnswerEvery N lets each Nth write since the faults were set take
	// effect and breaks its connection; 0: none.
	LoseAnswerEvery int `json:"lose_answer_every"`
	// RefuseWrites denies writes.
	RefuseWrites bool `json:"refuse_writes"`
	// Throttle answers each call with the service's throttling error.
	Throttle bool `json:"throttle"`
}

// Counters is what GET /control/counters tells.
type Counters struct {
	// Reads and Writes count the calls that the services acted on, a
	// transaction as one write; Items counts its rows, which the platform bills.
	Reads  int64 `json:"reads"`
	Writes int64 `json:"writes"`
	Items  int64 `json:"items"`
	// Conflicts counts the writes whose condition did not hold.
	Conflicts int64 `json:"conflicts"`
	// Denied counts calls that were throttled, denied or broken without effect.
	Denied int64 `json:"denied"`
	// Lost counts writes that took effect and whose answer was lost.
	Lost int64 `json:"lost"`
}

// ledger holds the faults and the counters together: which write is the Nth
// must not depend on how calls interleave.
type ledger struct {
	mu     sync.Mutex
	faults Faults
	since  int // writes since the faults were set
	count  Counters
}

func (l *ledger) set(f Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults, l.since = f, 0
}

func (l *ledger) get() Faults {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults
}

func (l *ledger) update(f func(*Counters)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(&l.count)
}

func (l *ledger) counters() Counters {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.count
}

// wrote notes a write that took effect and reports whether its answer is lost.
func (l *ledger) wrote() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.since++
	if n := l.faults.LoseAnswerEvery; n == 0 || l.since%n != 0 {
		return false
	}
	l.count.Lost++
	return true
}
