// Command claims measures the cost of at-most-once calls for the platform and the callers,
// first with a row per claim, then with claims that share rows. It runs the nodes' claims,
// net/rpc between them, the platform client and the stand-in platform in one process over
// loopback. Target work is simulated by sleeping.
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
	Rates    []float64     `long:"rate" default:"300" description:"calls per second; may be repeated"`
	Time     time.Duration `long:"time" default:"10s" description:"duration of the load of each measurement"`
	Platform int           `long:"platform-ms" default:"8" description:"delay of each platform response, in ms"`
	Once     bool          `long:"once" description:"open a connection for each op between nodes, as in a large fleet"`
	Skip     bool          `long:"skip-own" description:"skip the measurement with a row per claim, at rates that the machine can't sustain with it"`
	Bound    float64       `long:"bound" default:"0.6" description:"maximum ratio of platform writes per call with shared rows to those with a row per claim; fails above it, and if any call with shared rows did not complete"`
}

// CodeOverBound reports that a measured cost exceeds its bound.
const CodeOverBound status.Code = "over-bound"

func main() { command.Main(run) }

func run(ctx context.Context, o options) error {
	fmt.Println("| Calls/s | Rows | Calls | Not completed | Writes/s | Writes a call | Failed writes | Reads/s | Claim p50 | p99 | Answer behind run p50 | p99 |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|---|---|---|")
	var boundErr error
	for _, rate := range o.Rates {
		singleRows := measurement{}
		for _, sharedRows := range []bool{false, true} {
			if !sharedRows && o.Skip {
				continue
			}
			r, err := measure(ctx, o, rate, sharedRows)
			if err != nil {
				return err
			}
			fmt.Println(r)
			if boundErr == nil {
				boundErr = r.check(singleRows, o.Bound)
			}
			singleRows = r
		}
	}
	return boundErr
}
