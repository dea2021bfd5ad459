package configset

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"peardrift/internal/core/request"
)

func testSet() Set {
	return Set{
		Tenant: "kalahari", Share: 0.5, Version: 3,
		Services: []Service{
			{Name: "settleworks", Slots: 200, Connections: 1400, Allow: []request.Tenant{"khaosan"},
				Classes: []Class{
					{Name: "lookup", Path: "/payouts", Importance: 30, Deadline: time.Second, Attempts: 1, MaxBody: 10},
					{Name: "approve", Method: "POST", Path: "/payouts", Importance: 95, Deadline: time.Second,
						AtMostOnce: true, KeyRetention: time.Hour, MaxBody: 10},
					{Name: "rest", Path: "/", Importance: 1, Deadline: time.Second},
				}},
			{Name: "claimtrack", Slots: 65, Connections: 500, Calls: []request.Service{"settleworks.kalahari"},
				Classes: []Class{{Name: "status", Path: "/claims/", Deadline: time.Second}}},
		},
	}
}

func TestMatch(t *testing.T) {
	idx := NewIndex(testSet())
	info, ok := idx.Service("settleworks.kalahari")
	if !ok {
		t.Fatal("no service")
	}
	for _, tc := range []struct{ method, path, want string }{
		{"POST", "/payouts", "approve"},
		{"POST", "/payouts/7/approve", "approve"},
		{"GET", "/payouts/7", "lookup"},
		{"POST", "/payoutsx", "rest"},
		{"POST", "/", "rest"},
		{"POST", "/x/../payouts", ""},
		{"POST", "//payouts", ""},
		{"POST", "/./payouts", ""},
		{"POST", "payouts", ""},
		{"POST", "", ""},
	} {
		is := is.New(t)
		c, ok := info.Match(tc.method, tc.path)
		is.Equal(ok, tc.want != "") // whether any class matches
		if ok {
			is.Equal(string(c.Name), tc.want)
		}
	}
	track, _ := idx.Service("claimtrack.kalahari")
	_, ok = track.Match("GET", "/claims")
	is.New(t).True(!ok) // a prefix with a trailing slash requires it
}

func TestIndex(t *testing.T) {
	is := is.New(t)
	idx := NewIndex(testSet())
	other := idx.WithSet(Set{Tenant: "khaosan", Version: 9, Share: 0.25, Services: []Service{{Name: "feed"}}})
	is.Equal(idx.Share("khaosan"), 0.0) // the first index is not changed
	is.Equal(other.Share("khaosan"), 0.25)
	is.Equal(other.Version("kalahari"), int64(3))
	is.Equal(other.Services(), []request.Service{"claimtrack.kalahari", "feed.khaosan", "settleworks.kalahari"})
	next := testSet()
	next.Services = next.Services[:1]
	next.Services[0].Calls = nil
	_, ok := other.WithSet(next).Service("claimtrack.kalahari")
	is.True(!ok) // a set replaces all of its tenant's previous one
	info, _ := other.Service("settleworks.kalahari")
	is.True(info.AllowsTenant("khaosan") && info.AllowsTenant("kalahari") && !info.AllowsTenant("other"))
	var none *Index
	_, ok = none.Service("feed.khaosan")
	is.True(!ok)
}

func TestLookupsDoNotAllocate(t *testing.T) {
	idx := NewIndex(testSet())
	host := []byte("settleworks.kalahari")
	n := testing.AllocsPerRun(100, func() {
		info, _ := idx.Service(request.Service(host))
		info.Match("POST", "/payouts/7/approve")
		info.Class("rest")
	})
	is.New(t).Equal(n, 0.0)
}

func TestValidateReportsAllProblems(t *testing.T) {
	is := is.New(t)
	is.Equal(len(Validate(testSet())), 0)
	s := testSet()
	s.Tenant = "Kalahari"
	s.Share = 1.5
	s.Services[0].Slots = 0
	s.Services[0].Classes[1].Method = "GET"
	s.Services[0].Classes[0].Path = "/a/../b"
	s.Services[0].Classes[0].KeyRetention = time.Hour
	s.Services[1].Name = "settleworks"
	s.Services[1].Calls = []request.Service{"nowhere.kalahari", "x"}
	var fields []string
	for _, p := range Validate(s) {
		fields = append(fields, p.Field)
	}
	for _, want := range []string{
		"tenant", "share", "services[0].slots", "services[0].classes[1].method",
		"services[0].classes[0].path", "services[0].classes[0].remember",
		"services[1].name", "services[1].calls[1]",
	} {
		if !slices.Contains(fields, want) {
			t.Errorf("no problem for %s in %v", want, fields)
		}
	}
}

func TestEncodingIsCanonical(t *testing.T) {
	is := is.New(t)
	a, b := testSet(), testSet()
	slices.Reverse(b.Services)
	slices.Reverse(b.Services[1].Classes)
	b.Version = 4
	bodyA, digestA, err := Encode(a)
	is.NoErr(err)
	_, digestB, err := Encode(b)
	is.NoErr(err)
	is.Equal(digestA, digestB) // order and version are not part of the content
	got, err := Decode(bodyA, digestA, 3)
	is.NoErr(err)
	is.Equal(got, Canonical(a))
	bodyA[len(bodyA)/2] ^= 1
	_, err = Decode(bodyA, digestA, 3)
	is.True(err != nil) // a changed byte is detected
	back, err := ParseDigest(digestA.String())
	is.NoErr(err)
	is.Equal(back, digestA)
}

func TestDiff(t *testing.T) {
	is := is.New(t)
	a, b := testSet(), testSet()
	is.Equal(len(Diff(a, b)), 0)
	b.Share = 0.25
	b.Services[0].Classes[1].Importance = 99
	b.Services[1].Calls = nil
	is.Equal(Diff(a, b), []Difference{
		{Field: "services[claimtrack].calls", Old: "settleworks.kalahari"},
		{Field: "services[settleworks].classes[approve].importance", Old: "95", New: "99"},
		{Field: "share", Old: "0.5", New: "0.25"},
	})
	is.True(len(Diff(Set{}, b)) > 10) // everything in a first set is new
}
