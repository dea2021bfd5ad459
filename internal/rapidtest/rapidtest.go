// Package rapidtest gives property tests a fixed seed.
//
// With a new seed per run, a rare failure would break an unrelated CI run and
// disappear in the next. To explore new cases, pass -rapid.seed=N or
// -rapid.checks=N on the command line; add a regression test for each failure.
package rapidtest

import (
	"flag"
	"os"
	"testing"
)

// Main is the TestMain of a package with property tests.
func Main(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err) // the library no longer has the flag, so the seed would not be fixed
		}
	}
	os.Exit(m.Run())
}
