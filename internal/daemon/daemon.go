// Package daemon implements peardriftd's command line: flags, signals, exit codes.
//
// The process calls Main once. Main checks the settings, binds the listeners and runs the
// node on the calling goroutine; other goroutines wait for signals.
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
	ExitFailure  = 1 // the node failed
	ExitUsage    = 2 // the command line is invalid
	ExitSettings = 3 // the settings are invalid; nothing was announced
	ExitListen   = 4 // an address is in use; nothing was announced
)

type options struct {
	Settings string `short:"s" long:"settings" value-name:"FILE" description:"the node's settings (YAML); required"`
	Check    bool   `long:"check" description:"check the settings and exit"`
	Platform bool   `long:"platform" description:"run on the users' platform and read its settings instead of a file"`
	Version  bool   `long:"version" description:"print the version and exit"`
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
		return runOnPlatform(opts.Check, stdout, stderr)
	}
	if opts.Settings == "" {
		fmt.Fprintln(stderr, status.New(status.CodeInvalidSettings, "--settings FILE is missing"))
		return ExitUsage
	}
	cfg, err := settings.Load(opts.Settings)
	if err != nil {
		return fail(stderr, err)
	}
	if opts.Check {
		fmt.Fprintf(stdout, "%s: settings are usable\n", opts.Settings)
		return ExitOK
	}
	return serve(cfg, nil, stderr)
}

// runOnPlatform runs the node with the platform's settings.
func runOnPlatform(check bool, stdout, stderr io.Writer) int {
	cfg, integration, err := platform.Load()
	if err != nil {
		return fail(stderr, err)
	}
	if check {
		fmt.Fprintln(stdout, "the platform's settings are usable")
		return ExitOK
	}
	return serve(cfg, integration, stderr)
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

// serve runs the node until SIGTERM or SIGINT; a second signal ends it at once.
func serve(cfg settings.Settings, integration *node.Integration, stderr io.Writer) int {
	tuneGC(cfg.Limits.MemoryBytes)
	tuneProcs()
	// By default SIGPIPE and SIGHUP would end the process and abort its calls. SIGPIPE
	// results from a log line written to a standard error whose reader has gone; when it
	// is ignored, the write fails and the line is lost. SIGHUP results from a closed
	// terminal, or from an operator who wants to reload the settings, which requires a
	// restart.
	signal.Ignore(syscall.SIGPIPE)
	hups := make(chan os.Signal, 1)
	signal.Notify(hups, syscall.SIGHUP)
	n, err := node.New(cfg, integration)
	if err != nil {
		return fail(stderr, err)
	}
	sigs := make(chan os.Signal, 2)
	signal.Notify(sigs, syscall.SIGTERM, syscall.SIGINT)
	ctx, stop := context.WithCancel(context.Background())
	killCtx, cancelKill := context.WithCancel(context.Background())
	go func() {
		for range hups {
			n.Reload()
		}
	}()
	go func() {
		<-sigs
		stop()
		<-sigs
		cancelKill()
	}()
	if err := n.Run(ctx, killCtx); err != nil {
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
