package timeralign

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestUntilAlignsToCommonInstants(t *testing.T) {
	is := is.New(t)
	const step = 100 * time.Millisecond
	for _, tc := range []struct{ now, d, want time.Duration }{
		{0, 0, 0},
		{1, 0, step - 1},
		{30 * time.Millisecond, 50 * time.Millisecond, 70 * time.Millisecond},
		{30 * time.Millisecond, 70 * time.Millisecond, 70 * time.Millisecond},
		{30 * time.Millisecond, 71 * time.Millisecond, 170 * time.Millisecond},
		{step, -time.Second, 0},
	} {
		is.Equal(untilNext(tc.now, tc.d, step), tc.want)
	}
}
