package daemon

import (
	"runtime"
	"testing"

	"github.com/matryer/is"
)

// Guards against a node that takes its target's processors because the runtime's default
// stays in place, and against one that ignores the operators' GOMAXPROCS.
func TestProcessorsAreBoundedUnlessTheEnvironmentSetsThem(t *testing.T) {
	before := runtime.GOMAXPROCS(0)
	t.Cleanup(func() { runtime.GOMAXPROCS(before) })
	for name, tt := range map[string]struct {
		env       string
		has, want int
	}{
		"large":             {"", 12, maxProcs},
		"small":             {"", 1, 1},
		"set by GOMAXPROCS": {"6", 6, 6},
	} {
		t.Run(name, func(t *testing.T) {
			t.Setenv(envProcs, tt.env)
			runtime.GOMAXPROCS(tt.has)
			tuneProcs()
			is.New(t).Equal(runtime.GOMAXPROCS(0), tt.want)
		})
	}
}
