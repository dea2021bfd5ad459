// Command claims measures what at-most-once calls cost the platform and their
// callers: with a row for each claim, and with claims that share rows, one after
// the other in one run. Nodes' claims, net/rpc between them, the platform's
// client and the stand-in platform are real, over loopback in one process;
// targets are pauses.
package main

import (
	"context"
	"fmt"
	"time"

	"peardrift/bench/command"
	"peardrift/internal/status"
)

type options struct {
	Nodes    int           `long:"nodes" default:"20" description:"nodes that run calls"`
	Rates    []float64     `long:"rate" default:"300" description:"calls a second; may be repeated"`
	Time     time.Duration `long:"time" default:"10s" description:"how long calls come in, for each row"`
	Platform int           `long:"platform-ms" default:"8" description:"by how much the platform holds back each answer, in ms"`
	Once     bool          `long:"once" description:"a connection for each op between nodes, as in a large fleet"`
	Skip     bool          `long:"skip-own" description:"leave out rows of their own, at rates that the machine can't carry so"`
	Bound    float64       `long:"bound" default:"0.6" description:"most platform writes of a call with shared rows, against rows of their own; fails above, and with any call that did not complete"`
}

// CodeOverBound: a measured cost is above its bound.
const CodeOverBound status.Code = "over-bound"

func main() { command.Main(run) }

func run(ctx context.Context, o options) error {
	fmt.Println("| Calls/s | Rows | Calls | Not completed | Writes/s | Writes a call | Failed writes | Reads/s | Claim p50 | p99 | Answer behind run p50 | p99 |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|---|---|---|")
	var fault error
	for _, rate := range o.Rates {
		own := row{}
		for _, sharing := range []bool{false, true} {
			if !sharing && o.Skip {
				continue
			}
			r, err := measure(ctx, o, rate, sharing)
			if err != nil {
				return err
			}
			fmt.Println(r)
			if fault == nil {
				fault = r.check(own, o.Bound)
			}
			own = r
		}
	}
	return fault
}
