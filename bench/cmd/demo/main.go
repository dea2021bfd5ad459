// Command demo runs the main job on real processes: both example deployments on stand-in
// targets, a morning feed and a payout approval shown in full, and a short mixed load. It
// prints the results and exits.
//
// Exit codes: 0 success, 1 failure (with a typed error), 2 invalid command line.
package main

import (
	"context"
	"os"
	"time"

	"peardrift/bench/command"
	"peardrift/bench/harness"
	"peardrift/bench/mainjob"
	"peardrift/internal/status"
)

type options struct {
	Seconds float64 `long:"seconds" default:"5" description:"duration of the mixed load"`
	Small   bool    `long:"small" description:"run two targets per service, at half the load"`
	Keep    bool    `long:"keep" description:"keep the fleet's directory (settings, logs, traces) and print its name"`
}

func main() { command.Main(run) }

func run(ctx context.Context, o options) error {
	p, err := harness.BuildPrograms()
	if err != nil {
		return err
	}
	defer p.Close()
	if ctx.Err() != nil {
		return status.Wrap(status.CodeCanceled, ctx.Err(), "interrupted")
	}
	return mainjob.Run(ctx, mainjob.Config{
		Root:  p.Root,
		Bins:  p.Bins,
		Small: o.Small,
		Load:  time.Duration(o.Seconds * float64(time.Second)),
		Out:   os.Stdout,
		Keep:  o.Keep,
	})
}
