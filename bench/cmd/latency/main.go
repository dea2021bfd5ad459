// Command latency measures the latency that nodes add to a call, with real processes, and
// prints a table. With --against it compares CPU time and allocations of this version with
// those of another revision instead, and fails if a ratio exceeds its bound.
package main

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"time"

	"peardrift/bench/command"
	"peardrift/bench/harness"
	"peardrift/bench/latency"
	"peardrift/internal/settings"
	"peardrift/internal/status"
)

type options struct {
	Rates     []float64     `long:"rate" description:"calls per second; may be repeated (default: 1000, 5000 and 20000)"`
	Rounds    int           `long:"rounds" default:"5" description:"number of slices for each way to call"`
	Slice     time.Duration `long:"slice" default:"2s" description:"duration of one slice"`
	Warm      time.Duration `long:"warm" default:"1s" description:"duration of warm-up load before each cell"`
	Targets   int           `long:"targets" default:"2" description:"targets per service"`
	Service   time.Duration `long:"service-time" default:"0s" description:"service time of each target"`
	Procs     int           `long:"procs" default:"2" description:"GOMAXPROCS of each node and target, to simulate an instance with this number of cores; 0 uses all cores of the machine"`
	Members   []int         `long:"members" value-name:"N" description:"measure only the memory of a node that knows this number of members; may be repeated, in ascending order"`
	Against   string        `long:"against" value-name:"REVISION" description:"only compare benchmarks with those of a git revision, such as HEAD~1"`
	Requests  int           `long:"requests" default:"20000" description:"requests per benchmark in a comparison"`
	MaxCPU    float64       `long:"max-cpu" default:"1.25" description:"maximum ratio of CPU time in a comparison"`
	MaxAllocs float64       `long:"max-allocs" default:"1.05" description:"maximum ratio of allocations in a comparison"`
	MaxBytes  float64       `long:"max-bytes" default:"1.25" description:"maximum ratio of allocated bytes in a comparison"`
	Traced    float64       `long:"traced" default:"-1" description:"fraction of requests traced to a file; negative disables tracing"`
}

func main() { command.Main(run) }

// rates returns the call rates to measure, per second.
func (o options) rates() []float64 {
	if len(o.Rates) == 0 {
		return []float64{1_000, 5_000, 20_000}
	}
	return o.Rates
}

func run(ctx context.Context, o options) error {
	if o.Against != "" {
		root, err := harness.WorkspaceRoot()
		if err != nil {
			return err
		}
		return latency.Compare(ctx, latency.Comparison{
			Root: root, BaseRevision: o.Against, Rounds: o.Rounds, Requests: o.Requests, MaxCPU: o.MaxCPU, MaxAllocs: o.MaxAllocs, MaxBytes: o.MaxBytes,
		}, os.Stdout)
	}
	p, err := harness.BuildPrograms()
	if err != nil {
		return err
	}
	defer p.Close()
	if p.Bins.Target, err = harness.BuildProgram(p.Root, p.Dir, "./bench/cmd/standin-lean"); err != nil {
		return err
	}
	if o.Procs > 0 {
		if err := os.Setenv("GOMAXPROCS", strconv.Itoa(o.Procs)); err != nil { // inherited by the started processes
			return status.Wrap(harness.CodeHarness, err, "set GOMAXPROCS for the processes")
		}
	}
	cfg := latency.Config{
		Bins: p.Bins, Rates: o.rates(), Rounds: o.Rounds, LoadDuration: o.Slice, WarmUp: o.Warm,
		Targets: o.Targets, ServiceTime: o.Service, Tune: o.enableTraces,
	}
	if len(o.Members) > 0 {
		return measureMemory(ctx, cfg, o.Members)
	}
	res, err := latency.Measure(ctx, cfg, func(c latency.Cell) {
		fmt.Fprintf(os.Stderr, "%s at %.0f calls/s done\n", c.Kind, c.Rate)
	})
	if err != nil {
		return err
	}
	latency.Print(os.Stdout, res.Cells)
	latency.PrintNodes(os.Stdout, res)
	return nil
}

func measureMemory(ctx context.Context, cfg latency.Config, members []int) error {
	found, err := latency.MeasureMemory(ctx, cfg, members)
	if err != nil {
		return err
	}
	for _, m := range found {
		fmt.Printf("a node that knows %5d members: %.1f MB resident\n", m.Known, float64(m.Resident)/1e6)
	}
	return nil
}

// enableTraces enables tracing in the node's settings if the command line requests it.
func (o options) enableTraces(h *harness.Host, s *settings.Settings) {
	if o.Traced >= 0 {
		s.Traces.File, s.Traces.SampleRatio = h.NodeFile()+".traces", o.Traced
	}
}
