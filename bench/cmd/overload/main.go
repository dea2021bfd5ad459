// Command overload runs overload scenarios on real processes, through nodes and directly
// against targets without nodes, and compares them with the replay's prediction for the
// same trace. It exits with code 1 if a required outcome is not met.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"peardrift/bench/command"
	"peardrift/bench/harness"
	"peardrift/bench/overload"
	"peardrift/bench/replay/workload"
	"peardrift/internal/status"
)

type options struct {
	Deployments []string      `short:"d" long:"deployment" description:"khaosan or kalahari; may be repeated (default: both)"`
	Scenarios   []string      `short:"s" long:"scenario" default:"worst" description:"normal, worst, surge, slow, restart, stop or flood; may be repeated"`
	Seed        uint64        `long:"seed" default:"1" description:"seed of the trace"`
	Targets     int           `long:"targets" default:"2" description:"divide the number of a service's targets by this"`
	Slots       int           `long:"slots" default:"8" description:"divide a target's slots by this"`
	Stretch     int           `long:"stretch" default:"1" description:"multiply service times and timeouts by this"`
	Before      time.Duration `long:"before" default:"8s" description:"duration of normal load before the trigger phase"`
	During      time.Duration `long:"during" default:"10s" description:"duration of the trigger phase"`
	After       time.Duration `long:"after" default:"12s" description:"duration of normal load after the trigger phase"`
	Predict     bool          `long:"predict" description:"print the replay's prediction only, without starting processes"`
	NoStraight  bool          `long:"no-straight" description:"skip the run without nodes"`
	Dump        string        `long:"dump" value-name:"FILE" description:"write each attempt and the state of the nodes' gates as JSON lines"`
	Keep        bool          `long:"keep" description:"keep the fleet's files (settings, logs, runs) and print their directory"`
}

func main() { command.Main(run) }

func run(ctx context.Context, o options) error {
	var bins harness.Binaries // not needed for a prediction
	if !o.Predict {
		p, err := harness.BuildPrograms()
		if err != nil {
			return err
		}
		defer p.Close()
		bins = p.Bins
	}
	for _, scenario := range o.Scenarios {
		for _, d := range o.deployments(scenario) {
			if err := runCase(ctx, bins, d, scenario, o); err != nil {
				return err
			}
		}
	}
	return nil
}

// deployments returns the deployments to run a scenario on. The flood scenario has a
// deployment of its own.
func (o options) deployments(scenario string) []string {
	switch {
	case scenario == overload.Flood:
		return []string{"shared"}
	case len(o.Deployments) == 0:
		return []string{"khaosan", "kalahari"}
	default:
		return o.Deployments
	}
}

// runCase runs a case on a new fleet.
func runCase(ctx context.Context, bins harness.Binaries, deployment, scenario string, o options) error {
	size := overload.Size{Targets: o.Targets, Slots: o.Slots, Stretch: o.Stretch}
	c, err := overload.NewCase(deployment, scenario, size, workload.PhaseDurations{Before: o.Before, During: o.During, After: o.After}, o.Seed)
	if err != nil {
		return err
	}
	if o.Predict {
		out, err := overload.Predict(c)
		if err != nil {
			return err
		}
		return out.Print(os.Stdout)
	}
	l, err := overload.Open(ctx, bins, c)
	if err != nil {
		return err
	}
	defer l.Close()
	if l.Fleet.KeepFiles = o.Keep; o.Keep {
		fmt.Println("The fleet's files are in", l.Fleet.Dir)
	}
	if o.Dump != "" {
		f, err := os.Create(o.Dump)
		if err != nil {
			return status.Wrap(overload.CodeOverload, err, "create the dump file")
		}
		defer f.Close()
		l.Dump = overload.NewDump(f)
	}
	out, err := l.Play(ctx, !o.NoStraight)
	if err != nil {
		return err
	}
	if err := out.Print(os.Stdout); err != nil {
		return status.Wrap(overload.CodeOverload, err, "print the outcome")
	}
	return out.Nodes.Violations.Err()
}
