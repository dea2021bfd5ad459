// Package harnesstest prepares tests that run fleets: they wait for their turn,
// and their package builds the programs once.
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

// binDir is where the programs are built; Main sets it before any test runs.
var binDir string

// Main runs the tests of a package in its turn and ends the process.
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
		return 0, status.Wrap(harness.CodeHarness, err, "folder of the programs")
	}
	defer os.RemoveAll(binDir)
	end, err := harness.Turn()
	if err != nil {
		return 0, err
	}
	defer end()
	return m.Run(), nil
}

type programs struct {
	root string
	bins harness.Bins
	err  error
}

var built = sync.OnceValue(func() (p programs) {
	if p.root, p.err = harness.Root(); p.err == nil {
		p.bins, p.err = harness.Build(p.root, binDir)
	}
	return p
})

// Programs returns the workspace's folder and the built programs.
func Programs(t *testing.T) (root string, bins harness.Bins) {
	t.Helper()
	p := built()
	if p.err != nil {
		t.Fatal(p.err)
	}
	return p.root, p.bins
}
