package node

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestOverloadIsLoggedOnceAtStartAndEnd(t *testing.T) {
	is := is.New(t)
	var o overloadDetector
	started, ended := 0, 0
	for now := time.Duration(0); now < time.Minute; now += 200 * time.Millisecond {
		// The level is 0 at every second step of the first 30 s.
		b, e := o.observe(now, now < time.Minute/2 && now%(400*time.Millisecond) == 0)
		if b {
			started++
		}
		if e {
			ended++
			is.True(now >= time.Minute/2+overloadEndDelay-time.Second)
		}
	}
	is.Equal(started, 1)
	is.Equal(ended, 1)
}
