// Package command holds the code that the main functions under bench/cmd share:
// command-line parsing, signal handling and exit codes.
package command

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
)

// Exit codes.
const (
	ExitFailed = 1 // run failed; the error is on standard error
	ExitUsage  = 2 // invalid command line
)

// Main implements a command's main function. It parses the command line into
// Options, whose fields have go-flags tags, and calls run once on the calling
// goroutine. SIGTERM or SIGINT cancels the context. Main exits the process with one
// of the codes above on failure and returns on success.
func Main[Options any](run func(context.Context, Options) error) {
	var o Options
	if _, err := flags.Parse(&o); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(ExitUsage)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	err := run(ctx, o)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(ExitFailed)
	}
}
