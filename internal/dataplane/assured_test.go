package dataplane

import (
	"math"
	"testing"

	"github.com/matryer/is"

	"peardrift/internal/core/request"
)

// Guards against a class that gets nothing while more important ones fill a service
// that it needs.
func TestAssuredFractionGetsMaxImportance(t *testing.T) {
	is := is.New(t)
	e := &Engine{cfg: Config{AssuredFraction: 0.125}}
	const n = 20_000
	assured, lowOrder := 0, 0
	for range n {
		out := &outboundCall{id: newID()}
		out.meta.Importance = 80
		out.priority = request.PriorityOf(80, out.id)
		before := out.priority
		e.applyAssured(out)
		is.Equal(out.priority, request.PriorityOf(out.meta.Importance, out.id)) // each hop derives the same priority
		if out.meta.Importance == request.MaxImportance {
			assured++
			if uint16(before) >= 1<<15 {
				lowOrder++
			}
		} else {
			is.Equal(out.priority, before)
		}
	}
	is.True(math.Abs(float64(assured)/n-0.125) < 0.01)
	is.True(math.Abs(float64(lowOrder)/float64(assured)-0.5) < 0.05) // independent of the order within the class
}
