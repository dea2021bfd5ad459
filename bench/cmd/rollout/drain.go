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
	leaving     = "archive.khaosan" // the service of the target that leaves
	callsPath   = "/search"
	workSuffix  = ".work"
	rateATarget = 15.0 // calls a second, so that each target gets one in 70 ms
	beforeDrain = 3 * time.Second
	afterDrain  = 8 * time.Second
)

// noteWork has the targets write down their runs, if they can.
func noteWork(f *harness.Fleet) func(*harness.Host, *target.Config) {
	return func(h *harness.Host, c *target.Config) {
		c.WorkFile = filepath.Join(f.Dir, h.Name+workSuffix)
	}
}

// leaver is the host whose node is told to stop.
func leaver(f *harness.Fleet) *harness.Host {
	for _, h := range f.Hosts {
		if h.Service == leaving {
			return h
		}
	}
	return nil
}

// drain tells one node to stop while others call its service, and prints when
// its target began its last call.
func drain(ctx context.Context, f *harness.Fleet) error {
	h := leaver(f)
	var urls []string
	targets := 0
	for _, other := range f.Hosts {
		if other.Service == leaving {
			targets++
		}
		if other != h {
			urls = append(urls, "http://"+other.Addr.Callers)
		}
	}
	cfg := client.Config{URLs: urls, Seed: 1, Classes: []client.Class{{Name: "search", Host: leaving, Path: callsPath,
		Phases: []client.Phase{{For: beforeDrain + afterDrain, Rate: rateATarget * float64(targets)}}}}}
	var told time.Time
	timer := time.AfterFunc(beforeDrain, func() {
		told = time.Now()
		h.Node.Signal(syscall.SIGTERM)
	})
	defer timer.Stop()
	rep, err := client.Run(ctx, cfg)
	if err != nil {
		return err
	}
	before, after, last, err := begun(filepath.Join(f.Dir, h.Name+workSuffix), told)
	if err != nil {
		return err
	}
	s := rep["search"]
	fmt.Printf("Drain, with %.0f calls/s to %d targets: %d calls began on the leaving one in the %v before, %d after, the last %v after SIGTERM.\n",
		cfg.Classes[0].Phases[0].Rate, targets, before, beforeDrain, after, last.Round(time.Millisecond))
	// The answers of lean targets carry no mark, so the caller can't tell whose
	// they are.
	answered := s.Sent - s.ByResult[client.Refused] - s.ByResult[client.Failed] - s.ByResult[client.Unknown]
	fmt.Printf("Of %d calls %d were answered, %d refused, %d failed, %d unknown; the node ended with code %d.\n", s.Sent,
		answered, s.ByResult[client.Refused], s.ByResult[client.Failed], s.ByResult[client.Unknown], h.Node.Exited())
	return nil
}

// begun counts the runs in a target's file of work that began before and after
// a moment, and how long after it the last began.
func begun(name string, at time.Time) (before, after int, last time.Duration, err error) {
	file, err := os.Open(name)
	if err != nil {
		return 0, 0, 0, status.Wrap(harness.CodeHarness, err, "runs of the target that left")
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
