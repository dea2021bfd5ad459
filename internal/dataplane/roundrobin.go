package dataplane

import (
	"math/rand/v2"
	"sync"

	"peardrift/internal/core/configset"
	"peardrift/internal/core/request"
)

// roundRobin selects the next part of a route by smooth weighted round robin, so that
// each part gets its weight's share of the requests at every node. With random
// selection, the shares of a route with few requests would deviate by more than
// operators who shift a tenth of a service's load expect. Safe for concurrent use; the
// zero value is ready.
type roundRobin struct {
	mu     sync.Mutex
	credit map[partKey]float64
}

// partKey identifies one part of one route.
type partKey struct {
	host, prefix string
	service      request.Service
}

// next returns the part with the most credit: each part earns its weight's share with
// every request, and the selected part pays one. It is nil if no part has a weight.
func (t *roundRobin) next(r *configset.RouteInfo) *configset.WeightedService {
	if len(r.Services) == 1 && r.TotalWeight > 0 {
		return &r.Services[0]
	}
	if r.TotalWeight == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.credit == nil || len(t.credit) > maxCredits {
		t.credit = make(map[partKey]float64)
	}
	best := -1
	bestCredit := 0.0
	for i := range r.Services {
		c := t.addCredit(r, i)
		if best < 0 || c > bestCredit {
			best, bestCredit = i, c
		}
	}
	t.credit[partKeyOf(r, best)] -= 1
	return &r.Services[best]
}

// maxCredits limits the entries kept for routes that no longer exist.
const maxCredits = 4096

// addCredit adds a part's share of one request to its credit and returns it. The
// initial credit is random, since otherwise all nodes would send their first requests
// to the same part.
func (t *roundRobin) addCredit(r *configset.RouteInfo, i int) float64 {
	at := partKeyOf(r, i)
	share := float64(r.Services[i].Weight) / float64(r.TotalWeight)
	c, ok := t.credit[at]
	if !ok {
		c = share * rand.Float64()
	}
	if share == 0 {
		c = -1 // never selected
	}
	t.credit[at] = c + share
	return c + share
}

func partKeyOf(r *configset.RouteInfo, i int) partKey {
	return partKey{r.Host, r.Prefix, r.Services[i].Service.Name}
}
