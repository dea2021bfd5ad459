package request

import (
	"encoding/binary"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
)

// source returns a source of random identities.
func source(seed uint64) func() ID {
	rng := rand.New(rand.NewPCG(seed, 1))
	return func() (id ID) {
		binary.LittleEndian.PutUint64(id[:8], rng.Uint64())
		binary.LittleEndian.PutUint64(id[8:], rng.Uint64())
		return id
	}
}

// Guards against identities that a gate refuses, or that crowd in a part of the admitted
// range, from which gates would infer a wrong demand.
func TestDrawIsUniformAboveTheLevel(t *testing.T) {
	is := is.New(t)
	random := source(1)
	const draws, parts = 8000, 8
	level := LowestPriority(50) + 3*hashMask/4
	var seen [parts]int
	for range draws {
		p := PriorityOf(50, Draw(50, level, random))
		is.True(p >= level && p < LowestPriority(51))
		seen[int(p-level)*parts/int(LowestPriority(51)-level)]++
	}
	for _, n := range seen {
		is.True(n > draws/parts*85/100 && n < draws/parts*115/100) // within 5 standard deviations
	}
}

// Guards against an endless search where a level admits nothing.
func TestDrawEnds(t *testing.T) {
	is := is.New(t)
	tries, random := 0, source(1)
	id := Draw(50, MaxPriority, func() ID { tries++; return random() })
	is.Equal(tries, DrawTries)
	is.True(PriorityOf(50, id) > LowestPriority(50)+hashMask*9/10) // the best of them
}

func BenchmarkDraw(b *testing.B) {
	random := source(1)
	b.ReportAllocs()
	for b.Loop() {
		Draw(50, LowestPriority(50)+hashMask*9/10, random)
	}
}
