package confset

import (
	"flag"
	"os"
	"testing"
)

// TestMain draws the same cases in each run; -rapid.seed on the command line
// draws others.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
