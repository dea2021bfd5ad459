package share

import (
	"math"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestDivide(t *testing.T) {
	for _, c := range []struct {
		name             string
		capacity         float64
		weights, demands []float64
		want             []float64
	}{
		{"all fits", 10, []float64{1, 1}, []float64{3, 4}, []float64{3, 4}},
		{"even", 10, []float64{1, 1}, []float64{30, 40}, []float64{5, 5}},
		{"by weight", 12, []float64{1, 2}, []float64{30, 40}, []float64{4, 8}},
		{"lends what is idle", 10, []float64{1, 1}, []float64{2, 40}, []float64{2, 8}},
		{"lends by weight", 10, []float64{2, 1, 1}, []float64{2, 40, 40}, []float64{2, 4, 4}},
		{"nothing to divide", 0, []float64{1, 1}, []float64{2, 40}, []float64{0, 0}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			got := make([]float64, len(c.want))
			Divide(c.capacity, c.weights, c.demands, got)
			is.Equal(got, c.want)
		})
	}
}

// Either all capacity is used or all demand is satisfied, and a part below its demand
// is, by weight, no smaller than any other.
func TestDivideIsMaxMinFair(t *testing.T) {
	const epsilon = 1e-6
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 8).Draw(t, "n")
		weights := rapid.SliceOfN(rapid.Float64Range(0.1, 10), n, n).Draw(t, "weights")
		demands := rapid.SliceOfN(rapid.Float64Range(0, 100), n, n).Draw(t, "demands")
		capacity := rapid.Float64Range(0, 300).Draw(t, "capacity")
		out := make([]float64, n)
		Divide(capacity, weights, demands, out)
		used, asked := 0.0, 0.0
		for i := range out {
			used += out[i]
			asked += demands[i]
			for j := range out {
				if out[i] < demands[i]-epsilon && out[i]/weights[i] < out[j]/weights[j]-epsilon {
					t.Fatalf("tenant %d gets %v, tenant %d gets %v", i, out[i], j, out[j])
				}
			}
		}
		if math.Abs(used-min(capacity, asked)) > epsilon {
			t.Fatalf("%v of %v used, demand %v", used, capacity, asked)
		}
	})
}

func TestLedger(t *testing.T) {
	is := is.New(t)
	var l Ledger
	l.SetWeights([]float64{1, 3})
	_, ok := l.Next()
	is.True(!ok)
	for range 40 {
		l.Enqueue(0)
		l.Enqueue(1)
	}
	var held [2]int
	for range 40 { // 40 slots, both tenants want all of them
		t, ok := l.Next()
		is.True(ok)
		l.Dequeue(t)
		l.Acquire(t)
		held[t]++
	}
	is.Equal(held, [2]int{10, 30})
	is.Equal(l.Guaranteed(0, 40), 10.0)
	is.Equal(l.MostLoaded(0), 0) // its share is smaller and its queue is longer
	for range 30 {               // tenant 0 has no more demand; tenant 1 exceeds its share
		l.Dequeue(0)
	}
	for range 10 {
		l.Release(0)
		t, _ := l.Next()
		is.Equal(t, 1)
		l.Dequeue(t)
		l.Acquire(t)
	}
	l.Enqueue(0)
	t0, _ := l.Next()
	is.Equal(t0, 0) // the next free slot goes to tenant 0 again
}
