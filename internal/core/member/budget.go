package member

// minRoom is what a message may always hold: a few urgent changes or a fact,
// however far the node is in debt.
const minRoom = factSize + MaxFactValue

// room returns the bytes of items that one exchange may carry in both
// directions together: the link's even share of the rate, or a quarter of what
// was saved up if that is more.
func (s *State) room() int {
	cfg := &s.cfg
	share := cfg.Budget*int(cfg.Period.Milliseconds())/1000/max(len(s.order), 1) - cfg.ExchangeCost
	saved := s.budget.Tokens()
	if saved < cfg.ExchangeCost {
		return 2 * minRoom
	}
	room := max(share, (saved-cfg.ExchangeCost)/4)
	return min(max(room, 2*minRoom), 2*cfg.MaxItems)
}
