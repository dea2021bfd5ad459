package member

import "time"

// Rider is another core whose questions and answers ride along with heartbeats:
// while the budget is short, a connection and a message of their own would cost
// more than what they carry. Its methods are called within State's, and must not
// call State.
type Rider interface {
	// Ask returns a question of at most room bytes for the peer of the next
	// heartbeat, nil for none.
	Ask(room int) []byte
	// Answer answers a peer's question, in at most room bytes.
	Answer(question []byte, room int) []byte
	// Take takes a peer's answer. Both come from outside.
	Take(now time.Duration, answer []byte)
}

// minRide is what may ride along however far the node is in debt. Less would
// send the rider to connections of its own, which cost several times as much.
const minRide = 1100

// Carry makes a rider's questions and answers ride along.
func (s *State) Carry(r Rider) { s.rider = r }

func (s *State) rideAsk() func(room int) []byte {
	return func(room int) []byte {
		if s.rider == nil || room <= 0 {
			return nil
		}
		return s.rider.Ask(room)
	}
}

func (s *State) rideAnswer(question []byte) func(room int) []byte {
	return func(room int) []byte {
		if s.rider == nil || room <= 0 || len(question) == 0 {
			return nil
		}
		return s.rider.Answer(question, room)
	}
}

func (s *State) rideTake(now time.Duration, answer []byte) {
	if s.rider != nil && len(answer) > 0 {
		s.rider.Take(now, answer)
	}
}

func (m *Message) loadBytes() int {
	if len(m.Load) == 0 {
		return 0
	}
	return loadSize + len(m.Load)
}
