// Command soak plays plans of overlapping faults, one after the other, each drawn from a seed
// and against a fleet of its own. It exits with code 1 at the first failure, after it has
// printed the seed, the plan and where the logs are.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"peardrift/bench/command"
	"peardrift/bench/harness"
	"peardrift/bench/soak"
)

type options struct {
	Seeds uint64        `long:"seeds" default:"1" description:"number of plans to play"`
	First uint64        `long:"first" default:"1" description:"seed of the first plan"`
	Load  time.Duration `long:"load" default:"8s" description:"duration of the load"`
}

func main() { command.Main(run) }

func run(ctx context.Context, o options) error {
	p, err := harness.BuildPrograms()
	if err != nil {
		return err
	}
	defer p.Close()
	for seed := o.First; seed < o.First+o.Seeds; seed++ {
		start := time.Now()
		r, err := soak.Run(ctx, p.Bins, soak.Config{Seed: seed, Load: o.Load})
		if err != nil {
			fmt.Fprintf(os.Stderr, "%v%v\nlogs in %s\n", r.Plan, r.Requests, r.Dir)
			return err
		}
		fmt.Printf("seed %d: %v; %v\n", seed, r.Requests, time.Since(start).Round(time.Second/10))
	}
	return nil
}
