package member

import "time"

// PiggybackHandler is another component whose requests and replies are piggybacked on
// heartbeats: while the budget is short, a separate connection and message
// would cost more than the payload. State calls its methods; they must not call
// State.
type PiggybackHandler interface {
	// Request returns a request of at most room bytes for the peer of the next
	// heartbeat, nil for none.
	Request(room int) []byte
	// Reply returns the reply to a peer's request, of at most room bytes.
	Reply(request []byte, room int) []byte
	// HandleReply processes a peer's reply. Requests and replies are untrusted
	// input.
	HandleReply(now time.Duration, answer []byte)
}

// minPiggyback is the piggyback space in bytes even when the node has overspent
// its budget. With less, the handler would open its own connections, which cost
// several times as much.
const minPiggyback = 1100

// SetPiggybackHandler sets the handler whose requests and replies are piggybacked.
func (s *State) SetPiggybackHandler(r PiggybackHandler) { s.piggybackHandler = r }

func (s *State) piggybackRequest() func(room int) []byte {
	return func(room int) []byte {
		if s.piggybackHandler == nil || room <= 0 {
			return nil
		}
		return s.piggybackHandler.Request(room)
	}
}

func (s *State) piggybackReply(request []byte) func(room int) []byte {
	return func(room int) []byte {
		if s.piggybackHandler == nil || room <= 0 || len(request) == 0 {
			return nil
		}
		return s.piggybackHandler.Reply(request, room)
	}
}

func (s *State) handlePiggybackReply(now time.Duration, answer []byte) {
	if s.piggybackHandler != nil && len(answer) > 0 {
		s.piggybackHandler.HandleReply(now, answer)
	}
}

func (m *Message) piggybackBytes() int {
	if len(m.Piggyback) == 0 {
		return 0
	}
	return piggybackHeaderSize + len(m.Piggyback)
}
