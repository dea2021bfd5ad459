package scale

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"peardrift/internal/core/member"
)

// Like TestRunIsDeterministic, with configuration.
func TestConfigRunIsDeterministic(t *testing.T) {
	is := is.New(t)
	run := func() ChangeCost {
		f := New(member.DefaultConfig(), 40, 7)
		is.NoErr(f.Configure(3, time.Minute))
		b, err := f.MeasureChanges(10*time.Second, 432*time.Millisecond, time.Minute)
		is.NoErr(err)
		b.Cost.CPU, b.Peak.CPU = 0, 0
		return b
	}
	is.Equal(run(), run())
	outage := func() Reads {
		f := New(member.DefaultConfig(), 40, 7)
		is.NoErr(f.Configure(3, time.Minute))
		r, err := f.ReadsAfterOutage(time.Minute, 20*time.Second)
		is.NoErr(err)
		return r
	}
	is.Equal(outage(), outage())
}
