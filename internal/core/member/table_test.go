package member

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"peardrift/internal/core/request"
)

// Compares the table with a map under random changes.
func TestTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		var tab table
		want := make(map[request.TargetID]Change)
		var ids []request.TargetID
		for range 200 {
			id := request.TargetID(rng.Uint64())
			if len(ids) > 0 && rng.IntN(3) == 0 {
				id = ids[rng.IntN(len(ids))]
			}
			if rng.IntN(8) == 0 {
				tab.remove(id)
				delete(want, id)
				continue
			}
			c := Change{ID: id, Incarnation: rng.Uint32(), Status: Status(rng.IntN(4)), BodyDigest: rng.Uint32() & bodyMask}
			tab.set(c, nil)
			want[id] = c
			ids = append(ids, id)
		}
		var root uint64
		dead := 0
		for id, c := range want {
			e := tab.get(id)
			if e == nil || e.change() != c {
				t.Fatalf("%v is %+v, want %+v", id, e, c)
			}
			if short, ok := tab.shortID(id); ok && tab.getByShortID(short) != e {
				t.Fatalf("%v not found by its short ID", id)
			}
			root += c.sum()
			if c.Status == Dead {
				dead++
			}
		}
		if len(want) != len(tab.members) || root != tab.root || dead != tab.dead {
			t.Fatalf("%d members, root %x, %d dead", len(tab.members), tab.root, tab.dead)
		}
	})
}

func TestTrimFactsKeepsNewest(t *testing.T) {
	is := is.New(t)
	var tab table
	for v := range uint64(10) {
		is.True(tab.putFact(Fact{Kind: CrashSuspect, Key: v, Version: 100 + v}))
		tab.trimFacts(CrashSuspect, 4)
	}
	is.Equal(len(tab.facts), 4)
	is.Equal(tab.fact(factID(CrashSuspect, 5)), (*Fact)(nil))
	is.True(!tab.putFact(Fact{Kind: CrashSuspect, Key: 9, Version: 109}))
	var root uint64
	for i := range tab.facts {
		root += tab.facts[i].fact.sum()
	}
	is.Equal(tab.root, root)
}

func TestShortIDIsUnique(t *testing.T) {
	is := is.New(t)
	var tab table
	tab.set(Change{ID: 7<<32 | 1}, nil)
	_, ok := tab.shortID(7<<32 | 1)
	is.True(ok)
	tab.set(Change{ID: 7<<32 | 2}, nil)
	_, ok = tab.shortID(7<<32 | 1)
	is.True(!ok)
	is.Equal(tab.getByShortID(7), (*entry)(nil))
}
