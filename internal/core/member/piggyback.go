package member

import "time"

// Rider is another component whose questions and answers are piggybacked on
// heartbeats: while the budget is short, a separate connection and message
// would cost more than the payload. State calls its methods; they must not call
// State.
type Rider interface {
	// Ask returns a question of at most room bytes for the peer of the next
	// heartbeat, nil for none.
	Ask(room int) []byte
	// Answer returns the answer to a peer's question, of at most room bytes.
	Answer(question []byte, room int) []byte
	// Take processes a peer's answer. Questions and answers are untrusted
	// input.
	Take(now time.Duration, answer []byte)
}

// minPiggyback is the piggyback space in bytes even when the node has overspent
// its budget. With less, the rider would open its own connections, which cost
// several times as much.
const minPiggyback = 1100

// Carry sets the rider whose questions and answers are piggybacked.
func (s *State) Carry(r Rider) { s.rider = r }

func (s *State) piggybackRequest() func(room int) []byte {
	return func(room int) []byte {
		if s.rider == nil || room <= 0 {
			return nil
		}
		return s.rider.Ask(room)
	}
}

func (s *State) piggybackReply(question []byte) func(room int) []byte {
	return func(room int) []byte {
		if s.rider == nil || room <= 0 || len(question) == 0 {
			return nil
		}
		return s.rider.Answer(question, room)
	}
}

func (s *State) handlePiggybackReply(now time.Duration, answer []byte) {
	if s.rider != nil && len(answer) > 0 {
		s.rider.Take(now, answer)
	}
}

func (m *Message) piggybackBytes() int {
	if len(m.Load) == 0 {
		return 0
	}
	return piggybackHeaderSize + len(m.Load)
}
