// Command faults runs the fault scenarios of bench/faults on a small fleet of real
// processes and prints the effects of each. It exits with code 1 if a required outcome
// is not met.
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
	Only regexpFlag `long:"only" default:".*" value-name:"REGEXP" description:"run the scenarios whose names match"`
	Keep bool       `long:"keep" description:"keep the fleet's files (settings, logs)"`
}

func main() { command.Main(run) }

// regexpFlag is a regular expression given on the command line.
type regexpFlag struct{ *regexp.Regexp }

// UnmarshalFlag implements flags.Unmarshaler.
func (p *regexpFlag) UnmarshalFlag(text string) (err error) {
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
	l.Fleet.KeepFiles = o.Keep
	return runScenarios(ctx, l, o.Only)
}

// runScenarios runs the scenarios up to the first one that fails, and prints the rows of
// the completed ones.
func runScenarios(ctx context.Context, l *faults.Lab, only regexpFlag) error {
	var rows []faults.Row
	for _, s := range faults.Scenarios() {
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
