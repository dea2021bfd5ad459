package share

// Ledger counts the slots that tenants hold and the requests they have waiting.
// Tenants are small indices, chosen by the caller. The cost of a choice grows
// with the highest index.
type Ledger struct {
	accounts []account
	waiting  int
}

type account struct {
	weight  float64
	running int
	waiting int
}

// defaultWeight is the weight of a tenant that was given none, so that a tenant
// the configuration does not yet name is neither starved nor favoured.
const defaultWeight = 1

// SetWeights sets the tenants' weights by index; a missing one or one that
// isn't positive counts as 1.
func (l *Ledger) SetWeights(weights []float64) {
	l.grow(len(weights) - 1)
	for i := range l.accounts {
		l.accounts[i].weight = defaultWeight
		if i < len(weights) && weights[i] > 0 {
			l.accounts[i].weight = weights[i]
		}
	}
}

func (l *Ledger) grow(tenant int) {
	for len(l.accounts) <= tenant {
		l.accounts = append(l.accounts, account{weight: defaultWeight})
	}
}

// Start counts a slot taken by the tenant.
func (l *Ledger) Start(tenant int) {
	l.grow(tenant)
	l.accounts[tenant].running++
}

// End counts a slot given back.
func (l *Ledger) End(tenant int) { l.accounts[tenant].running-- }

// Wait counts a request that began to wait.
func (l *Ledger) Wait(tenant int) {
	l.grow(tenant)
	l.accounts[tenant].waiting++
	l.waiting++
}

// Leave counts a request that waits no more.
func (l *Ledger) Leave(tenant int) {
	l.accounts[tenant].waiting--
	l.waiting--
}

// Waiting returns the number of waiting requests of all tenants.
func (l *Ledger) Waiting() int { return l.waiting }

// Next returns the tenant that a free slot goes to: of those with waiting
// requests, the one that holds the fewest slots for its weight. False if none
// waits.
func (l *Ledger) Next() (tenant int, ok bool) {
	best := 0.0
	for i := range l.accounts {
		a := &l.accounts[i]
		if a.waiting == 0 {
			continue
		}
		held := float64(a.running) / a.weight
		if !ok || held < best {
			tenant, best, ok = i, held, true
		}
	}
	return tenant, ok
}

// Most returns the tenant that must give up a place in a full queue: of those
// with waiting requests, where the newcomer's tenant counts with one more, the
// one that holds and waits for the most for its weight. A tie goes against the
// newcomer's tenant, so that order within one tenant decides.
func (l *Ledger) Most(newcomer int) int {
	l.grow(newcomer)
	most := newcomer
	load := l.load(newcomer, 1)
	for i := range l.accounts {
		if i == newcomer || l.accounts[i].waiting == 0 {
			continue
		}
		if v := l.load(i, 0); v > load {
			most, load = i, v
		}
	}
	return most
}

func (l *Ledger) load(tenant, more int) float64 {
	a := &l.accounts[tenant]
	return float64(a.running+a.waiting+more) / a.weight
}

// Weight returns the tenant's weight.
func (l *Ledger) Weight(tenant int) float64 {
	l.grow(tenant)
	return l.accounts[tenant].weight
}

// Running returns the slots that the tenant holds.
func (l *Ledger) Running(tenant int) int {
	l.grow(tenant)
	return l.accounts[tenant].running
}

// Alone reports whether no other tenant holds or waits for a slot.
func (l *Ledger) Alone(tenant int) bool {
	for i := range l.accounts {
		if a := &l.accounts[i]; i != tenant && a.running+a.waiting > 0 {
			return false
		}
	}
	return true
}

// Guaranteed returns the tenant's part of slots while all tenants that hold or
// wait for any compete.
func (l *Ledger) Guaranteed(tenant, slots int) float64 {
	l.grow(tenant)
	total := 0.0
	for i := range l.accounts {
		a := &l.accounts[i]
		if i == tenant || a.running+a.waiting > 0 {
			total += a.weight
		}
	}
	return float64(slots) * l.accounts[tenant].weight / total
}
