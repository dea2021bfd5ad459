// Command faults plays the failures of bench/faults on a small fleet of real
// processes, and prints what each cost. It ends with code 1 if something did
// not hold that must.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"regexp"
	"syscall"

	"github.com/jessevdk/go-flags"

	"peardrift/bench/faults"
	"peardrift/bench/harness"
)

type options struct {
	Only string `long:"only" value-name:"REGEXP" description:"play the scenarios whose names match"`
	Keep bool   `long:"keep" description:"keep the fleet's files (settings, logs)"`
}

const (
	exitBroken = 1
	exitUsage  = 2
)

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(exitUsage)
	}
	only, err := regexp.Compile(o.Only)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitUsage)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := run(ctx, only, o.Keep); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitBroken)
	}
}

func run(ctx context.Context, only *regexp.Regexp, keep bool) error {
	root, err := harness.Root()
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "peardrift-bin-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	bins, err := harness.Build(root, dir)
	if err != nil {
		return err
	}
	l, err := faults.Open(ctx, bins)
	if err != nil {
		return err
	}
	defer l.Close()
	l.Fleet.Keep = keep
	return play(ctx, l, only)
}

// play plays the scenarios up to the first whose promise is broken, and prints
// the rows of those before.
func play(ctx context.Context, l *faults.Lab, only *regexp.Regexp) error {
	var rows []faults.Row
	for _, s := range faults.All() {
		if !only.MatchString(s.Name) {
			continue
		}
		row, err := s.Run(ctx, l)
		if err != nil {
			_ = faults.Print(os.Stdout, rows)
			fmt.Fprintf(os.Stderr, "%s: files in %s\n", s.Name, l.Fleet.Dir)
			return err
		}
		rows = append(rows, row)
	}
	return faults.Print(os.Stdout, rows)
}
