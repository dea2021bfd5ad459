// Package daemon is peardriftd's command line: flags, signals, exit codes.
//
// The process calls Main once. It checks the settings, binds the listeners and
// runs the node on the calling goroutine; another one waits for signals.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"peardrift/internal/buildinfo"
	"peardrift/internal/node"
	"peardrift/internal/settings"
	"peardrift/internal/status"
	"peardrift/platform"
)

// Exit codes of peardriftd.
const (
	ExitOK       = 0
	ExitFailure  = 1 // it ran and failed
	ExitUsage    = 2 // the command line can't be used
	ExitSettings = 3 // the settings can't be used; nothing was announced
	ExitListen   = 4 // an address is taken; nothing was announced
)

type options struct {
	Settings string `short:"s" long:"settings" value-name:"FILE" description:"the node's settings (YAML); needed"`
	Check    bool   `long:"check" description:"check the settings and exit"`
	Platform bool   `long:"platform" description:"run on the users' platform: its settings are read in place of a file"`
	Version  bool   `long:"version" description:"show the node's own version and exit"`
}

// Main runs peardriftd and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	var opts options
	p := flags.NewNamedParser("peardriftd", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := p.AddGroup("Options", "", &opts); err != nil {
		return fail(stderr, err)
	}
	if rest, err := p.ParseArgs(args); err != nil || len(rest) > 0 {
		return usage(rest, err, stdout, stderr)
	}
	if opts.Version {
		fmt.Fprintf(stdout, "peardriftd %s\n", buildinfo.Read())
		return ExitOK
	}
	if opts.Platform {
		return onPlatform(opts.Check, stdout, stderr)
	}
	if opts.Settings == "" {
		fmt.Fprintln(stderr, status.New(status.CodeInvalidSettings, "--settings FILE is missing"))
		return ExitUsage
	}
	set, err := settings.Load(opts.Settings)
	if err != nil {
		return fail(stderr, err)
	}
	if opts.Check {
		fmt.Fprintf(stdout, "%s: settings are usable\n", opts.Settings)
		return ExitOK
	}
	return serve(set, nil, stderr)
}

// onPlatform runs the node with the platform's settings.
func onPlatform(check bool, stdout, stderr io.Writer) int {
	set, out, err := platform.Enter()
	if err != nil {
		return fail(stderr, err)
	}
	if check {
		fmt.Fprintln(stdout, "the platform's settings are usable")
		return ExitOK
	}
	return serve(set, out, stderr)
}

func usage(rest []string, err error, stdout, stderr io.Writer) int {
	var help *flags.Error
	if errors.As(err, &help) && help.Type == flags.ErrHelp {
		fmt.Fprintln(stdout, help.Message)
		return ExitOK
	}
	if err == nil {
		err = status.New(status.CodeInvalidSettings, "unexpected arguments %q", rest)
	}
	fmt.Fprintln(stderr, err)
	return ExitUsage
}

// serve runs the node until SIGTERM or SIGINT; a second one ends it at once.
func serve(set settings.Settings, out *node.Outside, stderr io.Writer) int {
	tuneGC(set.Limits.MemoryBytes)
	tuneProcs()
	// Either signal would end the process with all its calls in the middle.
	// SIGPIPE comes of a log line written to a standard error whose reader has
	// gone; ignored, the write fails and the line is lost. SIGHUP comes of a
	// terminal that is closed, or of an operator who wants the settings to be
	// read again, which takes a restart.
	signal.Ignore(syscall.SIGPIPE)
	hups := make(chan os.Signal, 1)
	signal.Notify(hups, syscall.SIGHUP)
	n, err := node.New(set, out)
	if err != nil {
		return fail(stderr, err)
	}
	sigs := make(chan os.Signal, 2)
	signal.Notify(sigs, syscall.SIGTERM, syscall.SIGINT)
	ctx, stop := context.WithCancel(context.Background())
	kill, end := context.WithCancel(context.Background())
	go func() {
		for range hups {
			n.Reload()
		}
	}()
	go func() {
		<-sigs
		stop()
		<-sigs
		end()
	}()
	if err := n.Run(ctx, kill); err != nil {
		return fail(stderr, err)
	}
	return ExitOK
}

func fail(stderr io.Writer, err error) int {
	fmt.Fprintln(stderr, err)
	var invalid *settings.Invalid
	switch {
	case errors.As(err, &invalid), status.CodeOf(err) == status.CodeInvalidSettings:
		return ExitSettings
	case status.CodeOf(err) == status.CodeListen:
		return ExitListen
	default:
		return ExitFailure
	}
}
