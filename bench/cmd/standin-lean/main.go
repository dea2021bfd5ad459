// Command standin-lean runs one minimal stand-in target until SIGTERM, for latency
// measurements. It reads the same settings file as standin-target.
package main

import (
	"context"

	"peardrift/bench/command"
	"peardrift/bench/latency"
	"peardrift/bench/standin/target"
)

type options struct {
	Config string `long:"config" required:"true" description:"YAML file with the target's settings"`
}

func main() { command.Main(run) }

func run(ctx context.Context, o options) error {
	cfg, err := target.Load(o.Config, nil)
	if err != nil {
		return err
	}
	t, err := latency.StartLean(cfg)
	if err != nil {
		return err
	}
	<-ctx.Done()
	return t.Close()
}
