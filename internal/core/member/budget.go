package member

// minItemBudget is the item space that every message has, even when the node
// has overspent its budget: enough for a few urgent changes or one fact.
const minItemBudget = factSize + MaxFactValue

// itemBudget returns the bytes of items that one exchange may carry in both
// directions together: the link's even share of the rate, or a quarter of the
// unspent budget if that is more.
func (s *State) itemBudget() int {
	cfg := &s.cfg
	share := cfg.Budget*int(cfg.Period.Milliseconds())/1000/max(len(s.linkOrder), 1) - cfg.ExchangeCost
	saved := s.budget.Tokens()
	if saved < cfg.ExchangeCost {
		return 2 * minItemBudget
	}
	room := max(share, (saved-cfg.ExchangeCost)/4)
	return min(max(room, 2*minItemBudget), 2*cfg.MaxItemBytes)
}
