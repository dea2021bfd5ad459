package dataplane

import (
	"math/rand/v2"
	"sync"

	"peardrift/internal/core/confset"
	"peardrift/internal/core/request"
)

// turns says which part of a route is next, so that each gets its weight's share
// of the requests at every node. Drawn at random, the shares of a route with few
// requests would be off by more than operators who move a tenth of a service's
// load expect. Safe for concurrent use; the zero value is ready.
type turns struct {
	mu     sync.Mutex
	credit map[place]float64
}

// place is one part of one route.
type place struct {
	host, prefix string
	service      request.Service
}

// next returns the part with the most credit: each earns its weight with every
// request, and the one that is taken pays for all (smooth weighted round robin).
// It is nil if no part has a weight.
func (t *turns) next(r *confset.RouteInfo) *confset.Part {
	if len(r.Parts) == 1 && r.Total > 0 {
		return &r.Parts[0]
	}
	if r.Total == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.credit == nil || len(t.credit) > maxPlaces {
		t.credit = make(map[place]float64)
	}
	best := -1
	top := 0.0
	for i := range r.Parts {
		c := t.earn(r, i)
		if best < 0 || c > top {
			best, top = i, c
		}
	}
	t.credit[placeOf(r, best)] -= 1
	return &r.Parts[best]
}

// maxPlaces bounds what is remembered of routes that have gone.
const maxPlaces = 4096

// earn adds a part's share of one request to its credit and returns it. Nodes
// that all began with the same part would send it their first requests together,
// so each begins somewhere else.
func (t *turns) earn(r *confset.RouteInfo, i int) float64 {
	at := placeOf(r, i)
	share := float64(r.Parts[i].Weight) / float64(r.Total)
	c, ok := t.credit[at]
	if !ok {
		c = share * rand.Float64()
	}
	if share == 0 {
		c = -1 // never its turn
	}
	t.credit[at] = c + share
	return c + share
}

func placeOf(r *confset.RouteInfo, i int) place {
	return place{r.Host, r.Prefix, r.Parts[i].Service.Name}
}
