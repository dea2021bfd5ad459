package configset

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against sending a whole service for a small change: when one number of
// a large service changes repeatedly, this exceeds a node's control budget.
// Peers are one or more versions behind.
func TestSmallChangeIsSentAsPatch(t *testing.T) {
	is := is.New(t)
	set := largeSet(20)
	held := []*EncodedSet{mustPack(t, set)}
	for v := int64(2); v <= 2+maxHistory; v++ {
		set.Version = v
		set.Services[7].Slots++
		next := mustPack(t, set)
		d, ok := next.WithHistoryOf(held[len(held)-1]).DeltaSince(v - 1)
		is.True(ok)
		is.Equal(len(d.Services), 0)
		got, err := held[len(held)-1].Apply(d, next.Head())
		is.NoErr(err)
		held = append(held, got)
	}
	newest := held[len(held)-1]
	for i, from := range held[:len(held)-1] {
		d, ok := newest.DeltaSince(from.head.Version)
		is.True(ok)
		is.Equal(len(d.Patches), min(i, 1)) // the oldest is further back than the history kept
		body, err := d.Encode()
		is.NoErr(err)
		got, err := from.Apply(d, newest.head)
		is.NoErr(err)
		is.Equal(got.Set(), newest.Set())
		is.True(i == 0 || 2*len(body) < len(newest.services[7].body))
	}
}

// Guards against a panic or an unaccepted set when a peer sends a patch with
// invalid bounds or for another base.
func TestInvalidPatchIsRejected(t *testing.T) {
	is := is.New(t)
	set := largeSet(5)
	from := mustPack(t, set)
	set.Version = 2
	set.Services[1].Slots++
	to := mustPack(t, set)
	good := diffBodies(from.services[1].body, to.services[1].body)
	good.Name = set.Services[1].Name
	d := Delta{Tenant: set.Tenant, Since: 1, Version: 2, Share: set.Share, Patches: []Patch{good}}
	got, err := from.Apply(d, to.Head())
	is.NoErr(err)
	is.Equal(got.Set(), to.Set())
	size := len(from.services[1].body)
	for _, bad := range []Patch{
		{Name: "unheard-of", PrefixLen: good.PrefixLen, SuffixLen: good.SuffixLen, Middle: good.Middle},
		{Name: good.Name, PrefixLen: -1, SuffixLen: good.SuffixLen, Middle: good.Middle},
		{Name: good.Name, PrefixLen: good.PrefixLen, SuffixLen: -1, Middle: good.Middle},
		{Name: good.Name, PrefixLen: size + 1, SuffixLen: 0, Middle: good.Middle},
		{Name: good.Name, PrefixLen: good.PrefixLen, SuffixLen: size, Middle: good.Middle},
		{Name: good.Name, PrefixLen: good.PrefixLen, SuffixLen: good.SuffixLen},
		{Name: set.Services[2].Name, PrefixLen: good.PrefixLen, SuffixLen: good.SuffixLen, Middle: good.Middle},
	} {
		d.Patches = []Patch{bad}
		_, err := from.Apply(d, to.Head())
		is.True(err != nil)
	}
}
