package configset

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"peardrift/internal/core/request"
)

func withOrganisations(version int64) Set {
	s := testSet()
	s.Version = version
	s.Organisations = []Organisation{
		{Name: "acme", Keys: []KeyDigest{DigestKey([]byte("key-b")), DigestKey([]byte("key-a"))}, Rank: 1, Rate: 40, Burst: 10},
		{Name: "Bank of T", Keys: nil},
		{Name: "cargo", Keys: []KeyDigest{DigestKey([]byte("key-c"))}},
	}
	s.Organisations[1].Name = "bank-of-t"
	return s
}

func TestLookupByKey(t *testing.T) {
	is := is.New(t)
	idx := NewIndex(withOrganisations(3))
	is.True(idx.RequiresKey("kalahari"))
	for key, want := range map[string]request.Organisation{"key-a": "acme", "key-b": "acme", "key-c": "cargo"} {
		o, ok := idx.OrganisationByKey("kalahari", []byte(key))
		is.True(ok)
		is.Equal(o.Name, want)
	}
	for _, key := range []string{"", "key", "key-a ", DigestKey([]byte("key-a")).String()} {
		_, ok := idx.OrganisationByKey("kalahari", []byte(key))
		is.True(!ok)
	}
	is.True(!NewIndex(testSet()).RequiresKey("kalahari"))
	var none *Index
	_, ok := none.OrganisationByKey("kalahari", []byte("key-a"))
	is.True(!ok)
}

func TestKeyLookupDoesNotAllocate(t *testing.T) {
	idx, key := NewIndex(withOrganisations(3)), []byte("key-a")
	is.New(t).Equal(testing.AllocsPerRun(100, func() { idx.OrganisationByKey("kalahari", key) }), 0.0)
}

func BenchmarkKeyLookup(b *testing.B) {
	s := testSet()
	for i := range 1000 {
		s.Organisations = append(s.Organisations, Organisation{
			Name: request.Organisation(strings.Repeat("x", 1+i/100)), Keys: []KeyDigest{DigestKey([]byte{byte(i), byte(i >> 8)})},
		})
	}
	idx, key := NewIndex(s), []byte("kmgjqnirth5mgjy5rcpi")
	b.ReportAllocs()
	for b.Loop() {
		idx.OrganisationByKey("kalahari", key)
	}
}

func TestValidateOrganisations(t *testing.T) {
	for name, mutate := range map[string]func(*Set){
		"one key in two organisations":  func(s *Set) { s.Organisations[2].Keys = s.Organisations[0].Keys[:1] },
		"one key twice in organisation": func(s *Set) { s.Organisations[2].Keys = append(s.Organisations[2].Keys, s.Organisations[2].Keys[0]) },
		"negative rate":                 func(s *Set) { s.Organisations[0].Rate = -1 },
		"negative burst":                func(s *Set) { s.Organisations[0].Burst = -1 },
		"a name twice":                  func(s *Set) { s.Organisations[2].Name = "acme" },
		"no name":                       func(s *Set) { s.Organisations[2].Name = "" },
		"a name that breaks a header":   func(s *Set) { s.Organisations[2].Name = "a\r\nb" },
		"rank":                          func(s *Set) { s.Organisations[2].Rank = MaxRank + 1 },
	} {
		s := withOrganisations(3)
		mutate(&s)
		ps := Validate(s)
		if len(ps) == 0 {
			t.Errorf("%s: accepted", name)
		}
		for _, p := range ps {
			if !strings.HasPrefix(p.Field, "organisations[") || strings.Contains(p.Message, "key-") || strings.Contains(p.Message, "sha256") {
				t.Errorf("%s: reported as %v", name, p)
			}
		}
	}
	is.New(t).Equal(len(Validate(withOrganisations(3))), 0)
}

// Guards against a removed key that causes more than its organisation to be
// sent.
func TestKeyChangeSendsOneOrganisation(t *testing.T) {
	is := is.New(t)
	old := mustPack(t, withOrganisations(3))
	next := withOrganisations(4)
	next.Organisations[0].Keys = next.Organisations[0].Keys[:1]
	next.Organisations = next.Organisations[:2]
	d, ok := mustPack(t, next).WithHistoryOf(old).DeltaSince(3)
	is.True(ok)
	is.Equal(len(d.Services)+len(d.Patches), 0)
	is.Equal(len(d.Organisations), 1)
	is.Equal(d.RemovedOrganisations, []string{"cargo"})
	body, err := d.Encode()
	is.NoErr(err)
	back, err := DecodeDelta(body)
	is.NoErr(err)
	got, err := old.Apply(back, mustPack(t, next).Head())
	is.NoErr(err)
	_, ok = NewIndex(got.Set()).OrganisationByKey("kalahari", []byte("key-a"))
	is.True(!ok)
	_, ok = NewIndex(got.Set()).OrganisationByKey("kalahari", []byte("key-b"))
	is.True(ok)
	whole, err := got.Bytes()
	is.NoErr(err)
	again, err := Unpack(whole, got.Head())
	is.NoErr(err)
	is.Equal(again.Set(), got.Set())
	is.True(!strings.Contains(string(whole), "key-b"))
}

func TestDigestWithoutOrganisationsIsStable(t *testing.T) {
	is := is.New(t)
	s := testSet()
	s.Organisations = []Organisation{}
	is.Equal(mustPack(t, s).Head().Digest, mustPack(t, testSet()).Head().Digest)
	is.Equal(mustPack(t, testSet()).Head().Digest.String(), digestWithoutOrganisations)
}

// digestWithoutOrganisations is the digest of testSet from before sets had
// organisations.
const digestWithoutOrganisations = "6e686c9b18799096e2807cd57e993e6cc662838dd5d7738b6fbc5389c94d3d2c"

func TestImportanceOrdersByRankFirst(t *testing.T) {
	is := is.New(t)
	high, low := OrganisationInfo{Rank: 0}, OrganisationInfo{Rank: 1}
	is.True(high.Importance(0) > low.Importance(request.MaxImportance))
	is.True(high.Importance(100) > high.Importance(90))
	is.True(high.Importance(90) > high.Importance(80))
	for rank := range MaxRank + 1 {
		o := OrganisationInfo{Rank: rank}
		for imp := range request.MaxImportance + 1 {
			is.True(o.Importance(imp) <= request.MaxImportance)
		}
	}
}

func TestKeyDigestRoundTrip(t *testing.T) {
	is := is.New(t)
	d := DigestKey([]byte("key-a"))
	back, err := ParseKeyDigest(d.String())
	is.NoErr(err)
	is.Equal(back, d)
	for _, bad := range []string{"", "kmgjqnirth5mgjy5rcpi", d.String()[1:], d.String() + "0", "sha256-"} {
		_, err := ParseKeyDigest(bad)
		is.True(err != nil)
		is.True(bad == "" || !strings.Contains(err.Error(), bad) || bad == "sha256-")
	}
	one, other := NewKey(), NewKey()
	is.True(one != other)
	is.Equal(len(NewKey()), 32)
}
