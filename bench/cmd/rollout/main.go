// Command rollout measures, on real processes of both example deployments, the time from
// the apply command until a configuration is in force on every node, how long a leaving
// target still gets calls, and the cost of control traffic on an idle node. It uses
// standin-lean targets, so that many nodes fit on one machine.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"peardrift/bench/command"
	"peardrift/bench/deploy"
	"peardrift/bench/harness"
	"peardrift/internal/core/request"
	"peardrift/internal/status"
)

type options struct {
	Changes int           `long:"changes" default:"5" description:"number of changes, applied one after another"`
	Rest    time.Duration `long:"rest" default:"20s" description:"how long to measure the cost of idle nodes"`
	Times   int           `long:"times" default:"1" description:"multiply the targets of both deployments, 33 in total, by this"`
	Within  time.Duration `long:"within" default:"2m" description:"timeout of each step"`
}

const (
	changedTenant = request.Tenant("khaosan")
	exampleSet    = "khaosan"
)

func main() { command.Main(run) }

func run(ctx context.Context, o options) error {
	bin, err := os.MkdirTemp("", "peardrift-bin-")
	if err != nil {
		return status.Wrap(harness.CodeHarness, err, "create the directory for the programs")
	}
	defer os.RemoveAll(bin)
	root, f, err := startFleet(ctx, bin, o)
	if f != nil {
		defer f.Close()
	}
	if err != nil {
		return err
	}
	if err := measureIdle(ctx, f, o.Rest); err != nil {
		return err
	}
	sets := filepath.Join(f.Dir, "sets")
	for i := range o.Changes {
		if err := applyChange(ctx, f, filepath.Join(root, "examples", exampleSet), sets, int64(i+1), o.Within); err != nil {
			return err
		}
	}
	return measureDrain(ctx, f)
}

func startFleet(ctx context.Context, bin string, o options) (string, *harness.Fleet, error) {
	root, err := harness.WorkspaceRoot()
	if err != nil {
		return "", nil, err
	}
	bins, err := harness.Build(root, bin)
	if err != nil {
		return "", nil, err
	}
	fullTarget := bins.Target
	if bins.Target, err = harness.BuildProgram(root, bin, "./bench/cmd/standin-lean"); err != nil {
		return "", nil, err
	}
	f, err := harness.New(bins)
	if err != nil {
		return "", nil, err
	}
	f.TuneTarget = recordWork(f)
	for _, d := range deploy.All() {
		for i := range d.Services {
			d.Services[i].Targets *= o.Times
		}
		if err := f.Add(d); err != nil {
			return "", f, err
		}
	}
	drainedHost(f).Program = fullTarget
	began := time.Now()
	if err := f.Start(); err != nil {
		return "", f, err
	}
	for _, d := range deploy.All() {
		if err := f.Apply(ctx, root, d.Tenant, 0); err != nil {
			return "", f, err
		}
	}
	if err := errors.Join(f.WaitReady(o.Within), f.WaitConverged(o.Within)); err != nil {
		return "", f, err
	}
	fmt.Printf("%d nodes were ready and knew each other %v after the first one started.\n", len(f.Hosts), time.Since(began).Round(time.Millisecond))
	return root, f, nil
}

// applyChange applies a set with an additional service and waits until every node has it
// in force.
func applyChange(ctx context.Context, f *harness.Fleet, from, to string, base int64, within time.Duration) error {
	if err := writeChangedSet(from, to, base); err != nil {
		return err
	}
	if _, _, err := f.RunTool(ctx, "apply", "--base", strconv.FormatInt(base, 10), "--node", f.Hosts[0].Addr.Control, to); err != nil {
		return err
	}
	accepted := time.Now()
	for _, h := range f.Hosts {
		for {
			s, err := h.Status()
			if err == nil && s.Versions[changedTenant] > base {
				break
			}
			if time.Since(accepted) > within {
				return status.New(harness.CodeHarness, "%s is still at version %d", h.Name, s.Versions[changedTenant])
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
	fmt.Printf("Version %d was in force on all nodes %v after the apply command returned.\n", base+1, time.Since(accepted).Round(time.Millisecond))
	return nil
}

// writeChangedSet copies a set and adds a service.
func writeChangedSet(from, to string, n int64) error {
	if err := os.RemoveAll(to); err != nil {
		return status.Wrap(harness.CodeHarness, err, "remove the previous set")
	}
	if err := os.CopyFS(to, os.DirFS(from)); err != nil {
		return status.Wrap(harness.CodeHarness, err, "copy the set")
	}
	extra := fmt.Sprintf("services:\n  - name: rollout%d\n    slots: 1\n    connections: 1\n    classes:\n      - {name: all, path: /, importance: 1}\n", n)
	if err := os.WriteFile(filepath.Join(to, "rollout.yaml"), []byte(extra), 0o600); err != nil {
		return status.Wrap(harness.CodeHarness, err, "write the changed set")
	}
	return nil
}
