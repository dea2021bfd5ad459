package badinput

import (
	"fmt"
	"os"
	"sync"
	"testing"

	"peardrift/bench/harness"
)

var binDir string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "peardrift-badinput-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	binDir = dir
	end, err := harness.Turn()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	code := m.Run()
	end()
	_ = os.RemoveAll(dir)
	os.Exit(code)
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

func build(t *testing.T) programs {
	t.Helper()
	p := built()
	if p.err != nil {
		t.Fatal(p.err)
	}
	return p
}
