// Command overload plays the brief's worst case, and others, on real processes:
// through nodes and straight at targets without nodes, beside what the replay
// predicts for the same trace. It ends with code 1 if something did not hold
// that must.
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
	Seed        uint64        `long:"seed" default:"1" description:"of the trace"`
	Targets     int           `long:"targets" default:"2" description:"divide the number of a service's targets by this"`
	Slots       int           `long:"slots" default:"8" description:"divide a target's slots by this"`
	Stretch     int           `long:"stretch" default:"1" description:"multiply service times and time-outs by this"`
	Before      time.Duration `long:"before" default:"8s" description:"normal load before the trigger"`
	During      time.Duration `long:"during" default:"10s" description:"length of the trigger"`
	After       time.Duration `long:"after" default:"12s" description:"normal load after the trigger"`
	Predict     bool          `long:"predict" description:"ask the replay only and start no process"`
	NoStraight  bool          `long:"no-straight" description:"leave the targets without nodes out"`
	Dump        string        `long:"dump" value-name:"FILE" description:"write each try and the nodes' gates as JSON lines"`
	Keep        bool          `long:"keep" description:"keep the fleet's files (settings, logs, runs) and print their folder"`
}

func main() { command.Main(run) }

func run(ctx context.Context, o options) error {
	var bins harness.Bins // none are needed to predict
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
			if err := one(ctx, bins, d, scenario, o); err != nil {
				return err
			}
		}
	}
	return nil
}

// deployments are those to run a scenario on; the flood has one of its own.
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

// one plays a case on a fleet of its own.
func one(ctx context.Context, bins harness.Bins, deployment, scenario string, o options) error {
	size := overload.Size{Targets: o.Targets, Slots: o.Slots, Stretch: o.Stretch}
	c, err := overload.NewCase(deployment, scenario, size, workload.Lengths{Before: o.Before, During: o.During, After: o.After}, o.Seed)
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
	if l.Fleet.Keep = o.Keep; o.Keep {
		fmt.Println("The fleet's files are in", l.Fleet.Dir)
	}
	if o.Dump != "" {
		f, err := os.Create(o.Dump)
		if err != nil {
			return status.Wrap(overload.CodeOverload, err, "dump")
		}
		defer f.Close()
		l.Dump = overload.NewDump(f)
	}
	out, err := l.Play(ctx, !o.NoStraight)
	if err != nil {
		return err
	}
	if err := out.Print(os.Stdout); err != nil {
		return status.Wrap(overload.CodeOverload, err, "print")
	}
	return out.Nodes.Broken.Err()
}
