// Command faults plays the failures of bench/faults on a small fleet of real
// processes, and prints what each cost. It ends with code 1 if something did
// not hold that must.
package main

import (
	"context"
	"fmt"
	"os"
	"regexp"

	"peardrift/bench/command"
	"peardrift/bench/faults"
	"peardrift/bench/harness"
)

type options struct {
	Only pattern `long:"only" default:".*" value-name:"REGEXP" description:"play the scenarios whose names match"`
	Keep bool    `long:"keep" description:"keep the fleet's files (settings, logs)"`
}

func main() { command.Main(run) }

// pattern is a regular expression on the command line.
type pattern struct{ *regexp.Regexp }

// UnmarshalFlag implements flags.Unmarshaler.
func (p *pattern) UnmarshalFlag(text string) (err error) {
	p.Regexp, err = regexp.Compile(text)
	return err
}

func run(ctx context.Context, o options) error {
	p, err := harness.BuildPrograms()
	if err != nil {
		return err
	}
	defer p.Close()
	l, err := faults.Open(ctx, p.Bins)
	if err != nil {
		return err
	}
	defer l.Close()
	l.Fleet.Keep = o.Keep
	return play(ctx, l, o.Only)
}

// play plays the scenarios up to the first whose promise is broken, and prints
// the rows of those before.
func play(ctx context.Context, l *faults.Lab, only pattern) error {
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
