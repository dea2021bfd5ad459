// Command rollout measures, on real processes of both deployments, how long a
// configuration takes from the operators' tool to being in force on every node,
// and what control costs a node meanwhile.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strconv"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"peardrift/bench/deploy"
	"peardrift/bench/harness"
	"peardrift/internal/core/request"
	"peardrift/internal/status"
)

type options struct {
	Changes int           `long:"changes" default:"5" description:"changes applied one after the other"`
	Rest    time.Duration `long:"rest" default:"20s" description:"how long control's bytes are counted at rest"`
}

const (
	within  = time.Minute // that only a broken fleet needs
	tenant  = request.Tenant("khaosan")
	example = "khaosan"
)

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := run(ctx, o); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(ctx context.Context, o options) error {
	bin, err := os.MkdirTemp("", "peardrift-bin-")
	if err != nil {
		return status.Wrap(harness.CodeHarness, err, "folder of the programs")
	}
	defer os.RemoveAll(bin)
	root, f, err := start(ctx, bin)
	if f != nil {
		defer f.Close()
	}
	if err != nil {
		return err
	}
	fmt.Printf("%d nodes know one another.\n", len(f.Hosts))
	if err := rest(ctx, f, o.Rest); err != nil {
		return err
	}
	sets := filepath.Join(f.Dir, "sets")
	for i := range o.Changes {
		if err := change(ctx, f, filepath.Join(root, "examples", example), sets, int64(i+1)); err != nil {
			return err
		}
	}
	return nil
}

func start(ctx context.Context, bin string) (string, *harness.Fleet, error) {
	root, err := harness.Root()
	if err != nil {
		return "", nil, err
	}
	bins, err := harness.Build(root, bin)
	if err != nil {
		return "", nil, err
	}
	f, err := harness.New(bins)
	if err != nil {
		return "", nil, err
	}
	for _, d := range deploy.All() {
		if err := f.Add(d); err != nil {
			return "", f, err
		}
	}
	if err := f.Start(); err != nil {
		return "", f, err
	}
	for _, d := range deploy.All() {
		if err := f.Apply(ctx, root, d.Tenant, 0); err != nil {
			return "", f, err
		}
	}
	return root, f, f.Converged(within)
}

// rest prints what control costs while nothing changes.
func rest(ctx context.Context, f *harness.Fleet, d time.Duration) error {
	before, err := spent(f)
	if err != nil {
		return err
	}
	select {
	case <-time.After(d):
	case <-ctx.Done():
		return ctx.Err()
	}
	after, err := spent(f)
	if err != nil {
		return err
	}
	rates := make([]int64, len(after))
	for i := range after {
		rates[i] = int64(float64(after[i]-before[i]) / d.Seconds())
	}
	slices.Sort(rates)
	fmt.Printf("Control at rest over %v, bytes/s a node, sent and received: least %d, median %d, most %d.\n",
		d, rates[0], rates[len(rates)/2], rates[len(rates)-1])
	return nil
}

func spent(f *harness.Fleet) ([]int64, error) {
	out := make([]int64, len(f.Hosts))
	for i, h := range f.Hosts {
		s, err := h.Status()
		if err != nil {
			return nil, err
		}
		out[i] = s.Control.Bytes
	}
	return out, nil
}

// change applies a set with another service and waits until every
// node has it in force.
func change(ctx context.Context, f *harness.Fleet, from, to string, base int64) error {
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
