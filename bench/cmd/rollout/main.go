// Command rollout measures, on real processes of both deployments, how long a
// configuration takes from the operators' tool to being in force on every node,
// how long a target that leaves goes on getting calls, and what control costs a
// node at rest. Targets are lean ones, so that many nodes fit on one machine.
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
	Changes int           `long:"changes" default:"5" description:"changes applied one after the other"`
	Rest    time.Duration `long:"rest" default:"20s" description:"how long control's cost is counted at rest"`
	Times   int           `long:"times" default:"1" description:"run this many times the targets of both deployments, 33 in all"`
	Within  time.Duration `long:"within" default:"2m" description:"give up what takes longer than this"`
}

const (
	tenant  = request.Tenant("khaosan")
	example = "khaosan"
)

func main() { command.Main(run) }

func run(ctx context.Context, o options) error {
	bin, err := os.MkdirTemp("", "peardrift-bin-")
	if err != nil {
		return status.Wrap(harness.CodeHarness, err, "folder of the programs")
	}
	defer os.RemoveAll(bin)
	root, f, err := start(ctx, bin, o)
	if f != nil {
		defer f.Close()
	}
	if err != nil {
		return err
	}
	if err := rest(ctx, f, o.Rest); err != nil {
		return err
	}
	sets := filepath.Join(f.Dir, "sets")
	for i := range o.Changes {
		if err := change(ctx, f, filepath.Join(root, "examples", example), sets, int64(i+1), o.Within); err != nil {
			return err
		}
	}
	return drain(ctx, f)
}

func start(ctx context.Context, bin string, o options) (string, *harness.Fleet, error) {
	root, err := harness.Root()
	if err != nil {
		return "", nil, err
	}
	bins, err := harness.Build(root, bin)
	if err != nil {
		return "", nil, err
	}
	whole := bins.Target
	if bins.Target, err = harness.BuildOne(root, bin, "./bench/cmd/standin-lean"); err != nil {
		return "", nil, err
	}
	f, err := harness.New(bins)
	if err != nil {
		return "", nil, err
	}
	f.TuneTarget = noteWork(f)
	for _, d := range deploy.All() {
		for i := range d.Services {
			d.Services[i].Targets *= o.Times
		}
		if err := f.Add(d); err != nil {
			return "", f, err
		}
	}
	leaver(f).Program = whole
	began := time.Now()
	if err := f.Start(); err != nil {
		return "", f, err
	}
	for _, d := range deploy.All() {
		if err := f.Apply(ctx, root, d.Tenant, 0); err != nil {
			return "", f, err
		}
	}
	if err := errors.Join(f.Ready(o.Within), f.Converged(o.Within)); err != nil {
		return "", f, err
	}
	fmt.Printf("%d nodes were ready and knew one another %v after the first was started.\n", len(f.Hosts), time.Since(began).Round(time.Millisecond))
	return root, f, nil
}

// change applies a set with another service and waits until every
// node has it in force.
func change(ctx context.Context, f *harness.Fleet, from, to string, base int64, within time.Duration) error {
	if err := vary(from, to, base); err != nil {
		return err
	}
	if _, _, err := f.Tool(ctx, "apply", "--base", strconv.FormatInt(base, 10), "--node", f.Hosts[0].Addr.Control, to); err != nil {
		return err
	}
	accepted := time.Now()
	for _, h := range f.Hosts {
		for {
			s, err := h.Status()
			if err == nil && s.Versions[tenant] > base {
				break
			}
			if time.Since(accepted) > within {
				return status.New(harness.CodeHarness, "%s is still at version %d", h.Name, s.Versions[tenant])
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
	fmt.Printf("Version %d in force on all nodes %v after the tool's return.\n", base+1, time.Since(accepted).Round(time.Millisecond))
	return nil
}

// vary copies a set and adds a service.
func vary(from, to string, n int64) error {
	if err := os.RemoveAll(to); err != nil {
		return status.Wrap(harness.CodeHarness, err, "remove the last set")
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
