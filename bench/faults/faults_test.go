package faults

import (
	"context"
	"os"
	"testing"
	"time"

	"peardrift/bench/harness"
)

// The comment at each scenario function describes the failure it guards against.
func TestFaults(t *testing.T) { runScenarios(t, Open, Scenarios()) }

// The same with publishes whose claims share rows.
func TestFaultsOfSharedClaims(t *testing.T) {
	runScenarios(t, OpenWithSharedClaims, SharedClaimScenarios())
}

func runScenarios(t *testing.T, open func(context.Context, harness.Binaries) (*Lab, error), scenarios []Scenario) {
	t.Helper()
	release, err := harness.AcquireRunLock()
	if err != nil {
		t.Fatal(err)
	}
	defer release()
	root, err := harness.WorkspaceRoot()
	if err != nil {
		t.Fatal(err)
	}
	bins, err := harness.Build(root, t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	start := time.Now()
	l, err := open(t.Context(), bins)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	t.Logf("%d hosts after %v", len(l.Fleet.Hosts), time.Since(start).Round(time.Millisecond))
	var rows []Row
	for _, s := range scenarios {
		t.Run(s.Name, func(t *testing.T) {
			row, err := s.Run(t.Context(), l)
			if err != nil {
				l.Fleet.KeepFiles = true
				t.Fatalf("%v; logs in %s", err, l.Fleet.Dir)
			}
			rows = append(rows, row)
		})
	}
	if err := Print(os.Stdout, rows); err != nil {
		t.Fatal(err)
	}
}
