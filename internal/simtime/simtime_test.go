package simtime

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestEventsRunInOrderOfTimeThenInsertion(t *testing.T) {
	is := is.New(t)
	var q Queue
	var ran []string
	record := func(s string) func() { return func() { ran = append(ran, s+" at "+q.Now.String()) } }
	q.After(2*time.Second, record("c"))
	q.After(time.Second, record("a"))
	q.After(time.Second, func() {
		record("b")()
		q.After(0, record("b2"))
		q.After(time.Hour, record("later"))
	})
	q.RunUntil(3 * time.Second)
	is.True(slices.Equal(ran, []string{"a at 1s", "b at 1s", "b2 at 1s", "c at 2s"}))
	is.Equal(q.Now, 3*time.Second)
}
