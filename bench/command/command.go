// Package command is what the main functions under bench/cmd share: the command
// line, signals and exit codes.
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
	ExitFailed = 1 // run failed; the reason is on standard error
	ExitUsage  = 2 // the command line can't be used
)

// Main is a command's main function. It reads the command line into options,
// whose fields have go-flags' tags, and calls run once, on the calling goroutine.
// The context ends with SIGTERM or SIGINT. It ends the process unless all is well.
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
