// Command latency measures what nodes add to a call, with real processes, and
// prints a table; or, with --against, compares this version's processor time
// and allocations with those of another one, and fails over a bound.
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
	Rates     []float64     `long:"rate" description:"calls a second; may be repeated (default: 1000, 5000 and 20000)"`
	Rounds    int           `long:"rounds" default:"5" description:"slices of each way"`
	Slice     time.Duration `long:"slice" default:"2s" description:"length of one slice"`
	Warm      time.Duration `long:"warm" default:"1s" description:"load before each cell that isn't counted"`
	Targets   int           `long:"targets" default:"2" description:"targets of each service"`
	Service   time.Duration `long:"service-time" default:"0s" description:"time that each target takes for a call"`
	Procs     int           `long:"procs" default:"2" description:"GOMAXPROCS of each node and target, as on an instance with so many cores; 0: all of the machine's"`
	Members   []int         `long:"members" value-name:"N" description:"measure the memory of a node that knows so many members, and nothing else; may be repeated, rising"`
	Against   string        `long:"against" value-name:"REVISION" description:"compare the benchmarks with those of a revision of git, such as HEAD~1, and measure nothing else"`
	Requests  int           `long:"requests" default:"20000" description:"requests of each benchmark of a comparison"`
	MaxCPU    float64       `long:"max-cpu" default:"1.25" description:"bound of the ratio of processor time in a comparison"`
	MaxAllocs float64       `long:"max-allocs" default:"1.05" description:"bound of the ratio of allocations in a comparison"`
	MaxBytes  float64       `long:"max-bytes" default:"1.25" description:"bound of the ratio of allocated bytes in a comparison"`
	Traced    float64       `long:"traced" default:"-1" description:"share of requests traced to a file; by default no traces"`
}

func main() { command.Main(run) }

// rates are the calls a second to measure at.
func (o options) rates() []float64 {
	if len(o.Rates) == 0 {
		return []float64{1_000, 5_000, 20_000}
	}
	return o.Rates
}

func run(ctx context.Context, o options) error {
	if o.Against != "" {
		root, err := harness.Root()
		if err != nil {
			return err
		}
		return latency.Compare(ctx, latency.Comparison{
			Root: root, Against: o.Against, Rounds: o.Rounds, Requests: o.Requests, MaxCPU: o.MaxCPU, MaxAllocs: o.MaxAllocs, MaxBytes: o.MaxBytes,
		}, os.Stdout)
	}
	p, err := harness.BuildPrograms()
	if err != nil {
		return err
	}
	defer p.Close()
	if p.Bins.Target, err = harness.BuildOne(p.Root, p.Dir, "./bench/cmd/standin-lean"); err != nil {
		return err
	}
	if o.Procs > 0 {
		if err := os.Setenv("GOMAXPROCS", strconv.Itoa(o.Procs)); err != nil { // for the processes started from here
			return status.Wrap(harness.CodeHarness, err, "environment of the processes")
		}
	}
	cfg := latency.Config{
		Bins: p.Bins, Rates: o.rates(), Rounds: o.Rounds, Slice: o.Slice, Warm: o.Warm,
		Targets: o.Targets, Service: o.Service, Tune: o.tune,
	}
	if len(o.Members) > 0 {
		return memory(ctx, cfg, o.Members)
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

func memory(ctx context.Context, cfg latency.Config, members []int) error {
	found, err := latency.MeasureMemory(ctx, cfg, members)
	if err != nil {
		return err
	}
	for _, m := range found {
		fmt.Printf("a node that knows %5d members: %.1f MB resident\n", m.Known, float64(m.Resident)/1e6)
	}
	return nil
}

// tune turns traces on where the command line asks for them.
func (o options) tune(h *harness.Host, s *settings.Settings) {
	if o.Traced >= 0 {
		s.Traces.File, s.Traces.SampleRatio = h.NodeFile()+".traces", o.Traced
	}
}
