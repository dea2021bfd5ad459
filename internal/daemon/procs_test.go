package daemon

import (
	"runtime"
	"testing"

	"github.com/matryer/is"
)

// Symptom: a node takes its target's processors, or can't be given more.
// Events: a node starts on a large instance, without and with a number of its
// operators' own, or on a small one. Cause: the runtime's number stays.
func TestProcessorsAreBoundedUnlessOperatorsSay(t *testing.T) {
	before := runtime.GOMAXPROCS(0)
	t.Cleanup(func() { runtime.GOMAXPROCS(before) })
	for name, tt := range map[string]struct {
		env       string
		has, want int
	}{
		"large":                {"", 12, maxProcs},
		"small":                {"", 1, 1},
		"as the operators say": {"6", 6, 6},
	} {
		t.Run(name, func(t *testing.T) {
			t.Setenv(envProcs, tt.env)
			runtime.GOMAXPROCS(tt.has)
			tuneProcs()
			is.New(t).Equal(runtime.GOMAXPROCS(0), tt.want)
		})
	}
}
