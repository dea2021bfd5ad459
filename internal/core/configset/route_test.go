package configset

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"peardrift/internal/core/request"
)

func route(name, host, prefix string, weight int) Route {
	return Route{
		Name: request.Class("r-" + name), Host: host, Prefix: prefix, Weight: weight, Importance: 80,
		Deadline: time.Second, Runs: 2, MaxBody: 1 << 20,
	}
}

func routedSet() Set {
	return Set{Tenant: "t", Version: 3, Share: 1, Services: []Service{
		{Name: "a", Slots: 1, Connections: 10, Routes: []Route{
			route("all", "x.example", "/", 1), route("deep", "x.example", "/p/q/", 90),
		}},
		{Name: "b", Slots: 1, Connections: 10, Routes: []Route{route("deep", "x.example", "/p/q/", 10)}},
		{Name: "idle", Slots: 1, Connections: 10},
	}}
}

func TestRouteMatchesLongestPrefix(t *testing.T) {
	is := is.New(t)
	idx := NewIndex(routedSet())
	r, ok := idx.Route("x.example", "/p/q/r")
	is.True(ok)
	is.Equal(r.Class.Name, request.Class("r-deep"))
	is.Equal(r.TotalWeight, 100)
	is.Equal(len(r.Services), 2)
	r, ok = idx.Route("x.example", "/p/qq/")
	is.True(ok)
	is.Equal(r.Class.Name, request.Class("r-all"))
	_, ok = idx.Route("y.example", "/p/q/r")
	is.True(!ok)
	is.True(idx.HasRoutes())
	is.True(!NewIndex().HasRoutes())
}

// Checks that a set with routes is encoded, verified and sent as a delta like
// any other.
func TestRoutesSurviveEncodingAndDelta(t *testing.T) {
	is := is.New(t)
	is.Equal(len(Validate(routedSet())), 0)
	old, err := Pack(routedSet())
	is.NoErr(err)
	body, err := old.Bytes()
	is.NoErr(err)
	back, err := Unpack(body, old.Head())
	is.NoErr(err)
	is.Equal(back.Set(), old.Set())
	next := routedSet()
	next.Version = 5
	next.Services[1].Routes[0].Weight = 40
	p, err := Pack(next)
	is.NoErr(err)
	d, ok := p.WithHistoryOf(old).DeltaSince(3)
	is.True(ok)
	got, err := back.Apply(d, p.Head())
	is.NoErr(err)
	is.Equal(NewIndex(got.Set()).Services(), NewIndex(next).Services())
	r, _ := NewIndex(got.Set()).Route("x.example", "/p/q/")
	is.Equal(r.TotalWeight, 130)
}

func TestValidateRoutes(t *testing.T) {
	is := is.New(t)
	for name, mutate := range map[string]func(*Set){
		"prefix without trailing slash": func(s *Set) { s.Services[0].Routes[0].Prefix = "/a" },
		"prefix without leading slash":  func(s *Set) { s.Services[0].Routes[0].Prefix = "a/" },
		"no host":                       func(s *Set) { s.Services[0].Routes[0].Host = "" },
		"upper case":                    func(s *Set) { s.Services[0].Routes[0].Host = "X.example" },
		"no runs":                       func(s *Set) { s.Services[0].Routes[0].Runs = 0 },
		"no deadline":                   func(s *Set) { s.Services[0].Routes[0].Deadline = 0 },
		"negative weight":               func(s *Set) { s.Services[0].Routes[0].Weight = -1 },
		"duplicate name":                func(s *Set) { s.Services[0].Routes[1].Name = s.Services[0].Routes[0].Name },
		"different repeat rules in a split route": func(s *Set) { s.Services[1].Routes[0].NeverRepeat = true },
	} {
		set := routedSet()
		mutate(&set)
		if len(Validate(set)) == 0 {
			t.Errorf("%s: accepted", name)
		}
	}
	bare := routedSet()
	for i := range bare.Services {
		bare.Services[i].Routes = nil
	}
	is.True(len(Validate(bare)) > 0) // without routes services need classes
}
