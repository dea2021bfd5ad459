// Command ci runs go test and compares its failures with KNOWN-RED.txt, the list of tests
// that fail because of a known fault. Only these may fail. Listed tests are printed,
// whether they fail or pass. Any other failure, a panic, or a package that does not build
// fails the run.
//
//	ci [--known FILE] [--] ARGUMENTS OF GO TEST
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"peardrift/internal/status"
)

// Exit codes.
const (
	exitFailed = 1 // a test that isn't listed failed, or go test did not run
	exitUsage  = 2 // invalid command line or list
)

const codeCI status.Code = "ci"

type options struct {
	Known string `long:"known" default:"KNOWN-RED.txt" description:"list of tests that may fail"`
}

func main() {
	var o options
	args, err := flags.Parse(&o)
	if err != nil {
		os.Exit(exitUsage)
	}
	listed, err := readKnown(o.Known)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitUsage)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	rep, err := goTest(ctx, args, os.Stdout)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
	v := judge(rep, listed)
	v.print(os.Stdout)
	if len(v.unexpected) > 0 {
		os.Exit(exitFailed)
	}
}

// goTest runs go test and prints its output about packages and failed tests.
func goTest(ctx context.Context, args []string, out io.Writer) (*report, error) {
	cmd := exec.CommandContext(ctx, "go", append([]string{"test", "-json"}, args...)...)
	cmd.Cancel = func() error { return cmd.Process.Signal(syscall.SIGTERM) }
	cmd.Stderr = os.Stderr
	events, err := cmd.StdoutPipe()
	if err != nil {
		return nil, status.Wrap(codeCI, err, "open a pipe to go test")
	}
	if err := cmd.Start(); err != nil {
		return nil, status.Wrap(codeCI, err, "start go test")
	}
	rep, err := readEvents(events, out)
	if err != nil {
		return nil, err
	}
	var exit *exec.ExitError
	if err := cmd.Wait(); err != nil && !errors.As(err, &exit) {
		return nil, status.Wrap(codeCI, err, "run go test")
	}
	rep.failed = !cmd.ProcessState.Success()
	return rep, nil
}
