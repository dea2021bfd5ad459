package main

import (
	"bufio"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"peardrift/bench/harness"
	"peardrift/bench/standin/client"
	"peardrift/bench/standin/target"
	"peardrift/internal/status"
)

const (
	drainedService = "archive.khaosan" // service of the drained target
	callsPath      = "/search"
	workSuffix     = ".work"
	ratePerTarget  = 15.0 // calls/s, one call per target every 70 ms
	beforeDrain    = 3 * time.Second
	afterDrain     = 8 * time.Second
)

// recordWork makes the targets that support it record their runs in a file.
func recordWork(f *harness.Fleet) func(*harness.Host, *target.Config) {
	return func(h *harness.Host, c *target.Config) {
		c.WorkFile = filepath.Join(f.Dir, h.Name+workSuffix)
	}
}

// drainedHost returns the host whose node is stopped.
func drainedHost(f *harness.Fleet) *harness.Host {
	for _, h := range f.Hosts {
		if h.Service == drainedService {
			return h
		}
	}
	return nil
}

// measureDrain stops one node while other nodes call its service, and prints when its
// target started its last call.
func measureDrain(ctx context.Context, f *harness.Fleet) error {
	drained := drainedHost(f)
	var urls []string
	targets := 0
	for _, other := range f.Hosts {
		if other.Service == drainedService {
			targets++
		}
		if other != drained {
			urls = append(urls, "http://"+other.Addr.Callers)
		}
	}
	cfg := client.Config{URLs: urls, Seed: 1, Classes: []client.Class{{Name: "search", Host: drainedService, Path: callsPath,
		Phases: []client.Phase{{Duration: beforeDrain + afterDrain, Rate: ratePerTarget * float64(targets)}}}}}
	var drainedAt time.Time
	timer := time.AfterFunc(beforeDrain, func() {
		drainedAt = time.Now()
		drained.Node.Signal(syscall.SIGTERM)
	})
	defer timer.Stop()
	report, err := client.Run(ctx, cfg)
	if err != nil {
		return err
	}
	before, after, last, err := countRuns(filepath.Join(f.Dir, drained.Name+workSuffix), drainedAt)
	if err != nil {
		return err
	}
	search := report["search"]
	fmt.Printf("Drain with %.0f calls/s to %d targets: %d calls started on the draining target in the %v before SIGTERM, %d after it, the last one %v after it.\n",
		cfg.Classes[0].Phases[0].Rate, targets, before, beforeDrain, after, last.Round(time.Millisecond))
	// Responses of standin-lean don't identify the target, so the caller can't count
	// the calls of each target.
	answered := search.Sent - search.ByResult[client.Refused] - search.ByResult[client.Failed] - search.ByResult[client.Unknown]
	fmt.Printf("Of %d calls %d were answered, %d refused, %d failed, %d unknown; the node exited with code %d.\n", search.Sent,
		answered, search.ByResult[client.Refused], search.ByResult[client.Failed], search.ByResult[client.Unknown], drained.Node.ExitCode())
	return nil
}

// countRuns counts the runs in a target's work file that started before and after a given
// time, and returns how long after it the last one started.
func countRuns(name string, at time.Time) (before, after int, last time.Duration, err error) {
	file, err := os.Open(name)
	if err != nil {
		return 0, 0, 0, status.Wrap(harness.CodeHarness, err, "open the work file of the drained target")
	}
	defer file.Close()
	for sc := bufio.NewScanner(file); sc.Scan(); {
		v := strings.Split(sc.Text(), "\t")
		if len(v) < 4 {
			continue
		}
		us, err := strconv.ParseInt(v[3], 10, 64)
		if err != nil {
			continue
		}
		if since := time.UnixMicro(us).Sub(at); since > 0 {
			after++
			last = max(last, since)
		} else {
			before++
		}
	}
	return before, after, last, nil
}
