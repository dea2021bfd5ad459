package latency

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"text/tabwriter"

	"golang.org/x/perf/benchfmt"

	"peardrift/internal/status"
)

// CodeRegression means that this version costs more than the bounds allow.
const CodeRegression status.Code = "regression"

// Comparison configures a comparison of this version's benchmarks with another version's.
type Comparison struct {
	Root string // root directory of the workspace
	// BaseRevision is the git revision of the other version.
	BaseRevision string
	// Rounds is the number of times that each version's benchmarks run, alternating.
	Rounds int
	// Requests is the number of requests per run of a benchmark.
	Requests int
	// MaxCPU and MaxAllocs are the maximum ratios, this version to the other, of the
	// CPU time and the allocations of a request through nodes. Allocations hardly
	// vary, but CPU time varies with the machine's load, so the minimum over the
	// rounds is compared.
	MaxCPU, MaxAllocs float64
	// MaxBytes is the same for allocated bytes. It detects a node that buffers bodies
	// instead of streaming them.
	MaxBytes float64
}

// Benchmark units that are compared, each with its own bound.
const (
	unitCPU    = "cpu-sec/op" // benchfmt's name for cpu-ns/op
	unitAllocs = "allocs/op"
	unitBytes  = "B/op"
)

// samples holds the measured values by benchmark name and unit.
type samples map[string]map[string][]float64

// Compare runs the benchmarks of both versions alternately, prints the ratios, and
// returns an error with CodeRegression if a ratio exceeds its bound.
func Compare(ctx context.Context, c Comparison, out io.Writer) error {
	dir, err := os.MkdirTemp("", "peardrift-against-")
	if err != nil {
		return status.Wrap(status.CodeInternal, err, "create the directory of the other version")
	}
	defer os.RemoveAll(dir)
	if err := export(ctx, c.Root, c.BaseRevision, dir); err != nil {
		return err
	}
	var bins [2]string
	for i, root := range []string{dir, c.Root} {
		bins[i] = filepath.Join(dir, fmt.Sprintf("version%d.test", i))
		if err := runCommand(ctx, root, nil, "go", "test", "-c", "-o", bins[i], "./bench/latency"); err != nil {
			return err
		}
	}
	var measured [2]samples
	for i := range bins {
		measured[i] = make(samples)
	}
	for range c.Rounds {
		for i, bin := range bins {
			if err := measured[i].add(ctx, bin, c.Requests); err != nil {
				return err
			}
		}
	}
	return c.report(measured[0], measured[1], out)
}

// export writes the tree of a revision to dir.
func export(ctx context.Context, root, revision, dir string) error {
	var tree bytes.Buffer
	if err := runCommand(ctx, root, &tree, "git", "archive", "--format=tar", revision); err != nil {
		return err
	}
	cmd := exec.CommandContext(ctx, "tar", "-x", "-C", dir)
	cmd.Stdin = &tree
	if err := cmd.Run(); err != nil {
		return status.Wrap(status.CodeInternal, err, "unpack %s", revision)
	}
	return nil
}

func runCommand(ctx context.Context, dir string, out io.Writer, name string, args ...string) error {
	cmd := exec.CommandContext(ctx, name, args...)
	var stderr bytes.Buffer
	cmd.Dir, cmd.Stdout, cmd.Stderr = dir, out, &stderr
	if err := cmd.Run(); err != nil {
		return status.Wrap(status.CodeInternal, err, "%s %v: %s", name, args, stderr.String())
	}
	return nil
}

// add runs the benchmarks once and adds their values.
func (s samples) add(ctx context.Context, bin string, requests int) error {
	var out bytes.Buffer
	if err := runCommand(ctx, filepath.Dir(bin), &out, bin, "-test.run", "^$", "-test.bench", "Request",
		"-test.benchtime", fmt.Sprintf("%dx", requests)); err != nil {
		return status.Wrap(status.CodeInternal, err, "benchmarks failed: %s", out.String())
	}
	r := benchfmt.NewReader(&out, bin)
	for r.Scan() {
		res, ok := r.Result().(*benchfmt.Result)
		if !ok {
			continue
		}
		name := res.Name.String()
		if s[name] == nil {
			s[name] = make(map[string][]float64)
		}
		for _, v := range res.Values {
			s[name][v.Unit] = append(s[name][v.Unit], v.Value)
		}
	}
	if err := r.Err(); err != nil {
		return status.Wrap(status.CodeInternal, err, "read the benchmarks' output")
	}
	return nil
}

// nodesVariant is part of the names of the benchmarks that are bounded. The direct ones
// show how much the machine or the stand-ins differ between the versions.
const nodesVariant = "/nodes"

// report prints a line per benchmark and unit, and returns an error that lists the ratios
// over their bounds. Benchmarks that the other version lacks are not compared; an error
// is returned if none can be.
func (c Comparison) report(other, this samples, out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(w, "benchmark\tunit\t%s\tthis version\tratio\tbound\t\n", c.BaseRevision)
	var exceeded []string
	compared := 0
	for _, name := range sortedKeys(this) {
		for _, u := range []struct {
			unit  string
			bound float64
		}{{unitCPU, c.MaxCPU}, {unitAllocs, c.MaxAllocs}, {unitBytes, c.MaxBytes}} {
			a, b := other[name][u.unit], this[name][u.unit]
			if len(a) == 0 || len(b) == 0 {
				continue
			}
			compared++
			before, after := slices.Min(a), slices.Min(b)
			ratio := after / before
			boundText := fmt.Sprintf("%.2f", u.bound)
			if !strings.Contains(name, nodesVariant) {
				boundText = "-"
			}
			fmt.Fprintf(w, "%s\t%s\t%.4g\t%.4g\t%.3f\t%s\t\n", name, u.unit, before, after, ratio, boundText)
			if ratio > u.bound && boundText != "-" {
				exceeded = append(exceeded, fmt.Sprintf("%s %s: %.3f times that of %s", name, u.unit, ratio, c.BaseRevision))
			}
		}
	}
	_ = w.Flush()
	if compared == 0 {
		return status.New(CodeRegression, "%s has none of the benchmarks of this version", c.BaseRevision)
	}
	if len(exceeded) > 0 {
		return status.New(CodeRegression, "bounds exceeded: %v", exceeded)
	}
	return nil
}

func sortedKeys(s samples) []string {
	var out []string
	for name := range s {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}
