package share

// Ledger counts the slots that tenants hold and the requests that they have waiting.
// Tenants are small indices chosen by the caller. The cost of Next and MostLoaded is linear
// in the highest index.
type Ledger struct {
	tenants []tenantState
	waiting int
}

type tenantState struct {
	weight  float64
	running int
	waiting int
}

// defaultWeight is the weight of a tenant without a configured one, so that a tenant
// not yet in the configuration is neither starved nor favored.
const defaultWeight = 1

// SetWeights sets the tenants' weights by index; a missing or non-positive weight
// counts as 1.
func (l *Ledger) SetWeights(weights []float64) {
	l.ensure(len(weights) - 1)
	for i := range l.tenants {
		l.tenants[i].weight = defaultWeight
		if i < len(weights) && weights[i] > 0 {
			l.tenants[i].weight = weights[i]
		}
	}
}

func (l *Ledger) ensure(tenant int) {
	for len(l.tenants) <= tenant {
		l.tenants = append(l.tenants, tenantState{weight: defaultWeight})
	}
}

// Acquire records that the tenant takes a slot.
func (l *Ledger) Acquire(tenant int) {
	l.ensure(tenant)
	l.tenants[tenant].running++
}

// Release records that the tenant releases a slot.
func (l *Ledger) Release(tenant int) { l.tenants[tenant].running-- }

// Enqueue records that a request of the tenant starts waiting.
func (l *Ledger) Enqueue(tenant int) {
	l.ensure(tenant)
	l.tenants[tenant].waiting++
	l.waiting++
}

// Dequeue records that a request of the tenant stops waiting.
func (l *Ledger) Dequeue(tenant int) {
	l.tenants[tenant].waiting--
	l.waiting--
}

// Waiting returns the number of waiting requests of all tenants.
func (l *Ledger) Waiting() int { return l.waiting }

// Next returns the tenant that gets a free slot: of those with waiting requests, the
// one with the fewest slots relative to its weight. ok is false if none waits.
func (l *Ledger) Next() (tenant int, ok bool) {
	best := 0.0
	for i := range l.tenants {
		a := &l.tenants[i]
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

// MostLoaded returns the tenant that must give up a place in a full queue: of those with
// waiting requests, counting one more for the newcomer's tenant, the one with the most
// running and waiting requests relative to its weight. A tie selects the newcomer's
// tenant, so that the order within one tenant decides.
func (l *Ledger) MostLoaded(newcomer int) int {
	l.ensure(newcomer)
	most := newcomer
	load := l.load(newcomer, 1)
	for i := range l.tenants {
		if i == newcomer || l.tenants[i].waiting == 0 {
			continue
		}
		if v := l.load(i, 0); v > load {
			most, load = i, v
		}
	}
	return most
}

func (l *Ledger) load(tenant, more int) float64 {
	a := &l.tenants[tenant]
	return float64(a.running+a.waiting+more) / a.weight
}

// Weight returns the tenant's weight.
func (l *Ledger) Weight(tenant int) float64 {
	l.ensure(tenant)
	return l.tenants[tenant].weight
}

// Running returns the number of slots that the tenant holds.
func (l *Ledger) Running(tenant int) int {
	l.ensure(tenant)
	return l.tenants[tenant].running
}

// Alone reports whether no other tenant holds or waits for a slot.
func (l *Ledger) Alone(tenant int) bool {
	for i := range l.tenants {
		if a := &l.tenants[i]; i != tenant && a.running+a.waiting > 0 {
			return false
		}
	}
	return true
}

// Guaranteed returns the tenant's part of slots while it competes with all tenants that
// hold or wait for one.
func (l *Ledger) Guaranteed(tenant, slots int) float64 {
	l.ensure(tenant)
	total := 0.0
	for i := range l.tenants {
		a := &l.tenants[i]
		if i == tenant || a.running+a.waiting > 0 {
			total += a.weight
		}
	}
	return float64(slots) * l.tenants[tenant].weight / total
}
