// Package harnesstest supports tests that run fleets: it serialises the test
// binaries of a "go test" run and builds the programs once per package.
//
// A package's TestMain calls Main; tests call Programs, from any goroutine.
package harnesstest

import (
	"fmt"
	"os"
	"sync"
	"testing"

	"peardrift/bench/harness"
	"peardrift/internal/status"
)

// binDir is the directory for the binaries; Main sets it before any test runs.
var binDir string

// Main runs a package's tests while holding the run lock and exits the process.
func Main(m *testing.M) {
	code, err := run(m)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	os.Exit(code)
}

func run(m *testing.M) (code int, err error) {
	if binDir, err = os.MkdirTemp("", "peardrift-test-"); err != nil {
		return 0, status.Wrap(harness.CodeHarness, err, "create the directory for the binaries")
	}
	defer os.RemoveAll(binDir)
	release, err := harness.AcquireRunLock()
	if err != nil {
		return 0, err
	}
	defer release()
	return m.Run(), nil
}

type programs struct {
	root string
	bins harness.Binaries
	err  error
}

var buildOnce = sync.OnceValue(func() (p programs) {
	if p.root, p.err = harness.WorkspaceRoot(); p.err == nil {
		p.bins, p.err = harness.Build(p.root, binDir)
	}
	return p
})

// Programs returns the workspace's root directory and the binaries, which the
// first call builds.
func Programs(t *testing.T) (root string, bins harness.Binaries) {
	t.Helper()
	p := buildOnce()
	if p.err != nil {
		t.Fatal(p.err)
	}
	return p.root, p.bins
}
