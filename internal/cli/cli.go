package cli

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/jessevdk/go-flags"

	"peardrift/internal/adapter/rpc/adminapi"
	"peardrift/internal/apply"
	"peardrift/internal/settings"
	"peardrift/internal/status"
)

// Exit codes of the process, a stable interface for scripts.
const (
	ExitOK          = 0
	ExitFailure     = 1 // any failure without a code of its own
	ExitUsage       = 2 // invalid command line or platform settings
	ExitInvalidSet  = 3 // the set is not valid, or the tenants' shares exceed 1
	ExitConflict    = 4 // the accepted version is not the base
	ExitUnavailable = 5 // the platform is unavailable; nothing was accepted
	ExitUnknown     = 6 // the set may have been accepted; run the command again
)

// Nodes calls nodes at their control addresses. Implementations must be safe for
// concurrent use.
type Nodes interface {
	NotifyHead(ctx context.Context, addr string, args adminapi.HeadArgs) (adminapi.HeadReply, error)
	Status(ctx context.Context, addr string) (adminapi.StatusReply, error)
}

// Env holds the tool's external dependencies.
type Env struct {
	Stdout, Stderr io.Writer

	// Open connects to the platform; the returned function closes it.
	Open func(settings.Platform) (*apply.Store, func(), error)

	Nodes Nodes
}

// options are the flags common to all commands.
type options struct {
	Output   string        `long:"output" choice:"text" choice:"json" default:"text" description:"output format"`
	Timeout  time.Duration `long:"timeout" default:"20s" description:"time limit of the whole command"`
	Platform platformFlags `group:"Platform"`
}

// app is a single run of the tool.
type app struct {
	env  Env
	ctx  context.Context
	opts options
}

// Run runs the command line (without the program's name) and returns the exit
// code. Canceling ctx ends it.
func Run(ctx context.Context, args []string, env Env) int {
	a := &app{env: env, ctx: ctx}
	parser := flags.NewNamedParser("peardrift", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "Validates and applies configuration sets, and shows what is in force."
	if err := a.register(parser); err != nil {
		return a.reportError(err)
	}
	parser.CommandHandler = a.execute
	_, err := parser.ParseArgs(args)
	var usage *flags.Error
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		a.printf(env.Stdout, "%s\n", usage.Message)
		return ExitOK
	case errors.As(err, &usage):
		return a.reportError(status.New(status.CodeInvalidSettings, "%s", usage.Message))
	default:
		return a.reportError(err)
	}
}

func (a *app) register(parser *flags.Parser) error {
	if _, err := parser.AddGroup("Options", "", &a.opts); err != nil {
		return status.Wrap(status.CodeInternal, err, "options")
	}
	for _, c := range []struct {
		name, short string
		command     flags.Commander
	}{
		{"validate", "Check a set and report all its problems", &validateCommand{app: a}},
		{"apply", "Submit a set as the successor of a base version", &applyCommand{app: a}},
		{"status", "Show the accepted versions, and what nodes have in force", &statusCommand{app: a}},
		{"history", "Show a tenant's accepted versions", &historyCommand{app: a}},
		{"diff", "Show what differs between a set and the accepted one, or between two versions", &diffCommand{app: a}},
		{"share-claims", "Let claims of dated keys share rows, from two hours ahead on", &shareClaimsCommand{app: a}},
		{"key", "Make an API key and its digest", &keyCommand{app: a}},
		{"explain", "Show what nodes' logs say of one request", &explainCommand{app: a}},
		{"version", "Show the tool's own version", &versionCommand{app: a}},
	} {
		if _, err := parser.AddCommand(c.name, c.short, c.short+".", c.command); err != nil {
			return status.Wrap(status.CodeInternal, err, "command %s", c.name)
		}
	}
	return nil
}

// execute runs the chosen command within the timeout.
func (a *app) execute(command flags.Commander, args []string) error {
	if command == nil {
		return nil
	}
	if len(args) > 0 {
		return status.New(status.CodeInvalidSettings, "unexpected argument %q", args[0])
	}
	if a.opts.Timeout <= 0 {
		return status.New(status.CodeInvalidSettings, "--timeout must be more than 0")
	}
	ctx, cancel := context.WithTimeout(a.ctx, a.opts.Timeout)
	defer cancel()
	a.ctx = ctx
	return command.Execute(args)
}

// openStore connects to the platform; the returned function closes it.
func (a *app) openStore() (*apply.Store, func(), error) {
	p, err := a.opts.Platform.resolve()
	if err != nil {
		return nil, nil, err
	}
	return a.env.Open(p)
}

// exitCodeOf maps a failure to its exit code.
func exitCodeOf(err error) int {
	switch status.CodeOf(err) {
	case status.CodeInvalidSettings:
		return ExitUsage
	case status.CodeInvalidSet, apply.CodeSharesExceeded:
		return ExitInvalidSet
	case status.CodeConflict:
		return ExitConflict
	case status.CodePlatformDown:
		return ExitUnavailable
	case status.CodeOutcomeUnknown:
		return ExitUnknown
	default:
		return ExitFailure
	}
}
