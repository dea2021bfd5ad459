package node

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestOverloadIsToldOnceAtItsBeginningAndEnd(t *testing.T) {
	is := is.New(t)
	var o overload
	began, over := 0, 0
	for now := time.Duration(0); now < time.Minute; now += 200 * time.Millisecond {
		// The level touches 0 each other time, for the first half minute.
		b, e := o.look(now, now < time.Minute/2 && now%(400*time.Millisecond) == 0)
		if b {
			began++
		}
		if e {
			over++
			is.True(now >= time.Minute/2+overloadOver-time.Second)
		}
	}
	is.Equal(began, 1)
	is.Equal(over, 1)
}
