// Command standin-lean runs one lean stand-in target until SIGTERM, for
// measurements of latency. It reads the settings of a stand-in target.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"peardrift/bench/latency"
	"peardrift/bench/standin/target"
)

const exitUsage = 2

type options struct {
	Config string `long:"config" required:"true" description:"YAML file with the target's settings"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(exitUsage)
	}
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(o options) error {
	cfg, err := target.Load(o.Config, nil)
	if err != nil {
		return err
	}
	t, err := latency.StartLean(cfg)
	if err != nil {
		return err
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	<-stop
	return t.Close()
}
