package dataplane

import (
	"testing"

	"github.com/matryer/is"

	"peardrift/internal/core/configset"
	"peardrift/internal/core/request"
)

func split(weights ...int) *configset.RouteInfo {
	r := &configset.RouteInfo{Host: "h", Prefix: "/"}
	for i, w := range weights {
		r.Services = append(r.Services, configset.WeightedService{Service: &configset.ServiceInfo{Name: request.Service(rune('a' + i))}, Weight: w})
		r.TotalWeight += w
	}
	return r
}

// Guards against random selection at nodes with few requests, with which a service
// given a tenth of a route gets a quarter of the requests, or none.
func TestRoundRobinFollowsWeights(t *testing.T) {
	is := is.New(t)
	for _, r := range []*configset.RouteInfo{split(90, 10), split(1, 1, 2), split(1, 0)} {
		var ts roundRobin
		got := make(map[request.Service]int)
		const n = 200
		for range n {
			got[ts.next(r).Service.Name]++
		}
		for _, p := range r.Services {
			want := float64(p.Weight) / float64(r.TotalWeight) * n
			is.True(float64(got[p.Service.Name]) >= want-1 && float64(got[p.Service.Name]) <= want+1)
		}
	}
	is.True(new(roundRobin).next(split(0, 0)) == nil)
	is.True(new(roundRobin).next(split(0)) == nil)
}
