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

// Exit codes of the process; part of the product's interface.
const (
	ExitOK          = 0
	ExitFailure     = 1 // anything that has no code of its own
	ExitUsage       = 2 // the command line or the platform's settings
	ExitInvalidSet  = 3 // the set is not valid, or the shares exceed the whole
	ExitConflict    = 4 // another version than the base is accepted
	ExitUnavailable = 5 // the platform can't be reached; nothing was accepted
	ExitUnknown     = 6 // the set may have been accepted; ask again
)

// Nodes tells and asks nodes at their control addresses. It is called from
// several goroutines at a time.
type Nodes interface {
	Head(ctx context.Context, addr string, args adminapi.HeadArgs) (adminapi.HeadReply, error)
	Status(ctx context.Context, addr string) (adminapi.StatusReply, error)
}

// Env is what the tool touches outside.
type Env struct {
	Stdout, Stderr io.Writer

	// Open connects to the platform; the returned function closes it.
	Open func(settings.Platform) (*apply.Store, func(), error)

	Nodes Nodes
}

// options are the flags that all commands have.
type options struct {
	Output   string        `long:"output" choice:"text" choice:"json" default:"text" description:"form of the output"`
	Timeout  time.Duration `long:"timeout" default:"20s" description:"bound of the whole command"`
	Platform platformFlags `group:"Platform"`
}

// app is one run of the tool.
type app struct {
	env  Env
	ctx  context.Context
	opts options
}

// Run runs the command line (without the program's name) and returns the exit
// code. It ends by ctx.
func Run(ctx context.Context, args []string, env Env) int {
	a := &app{env: env, ctx: ctx}
	parser := flags.NewNamedParser("peardrift", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "Validates and applies configuration sets, and shows what is in force."
	if err := a.register(parser); err != nil {
		return a.fail(err)
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
		return a.fail(status.New(status.CodeInvalidSettings, "%s", usage.Message))
	default:
		return a.fail(err)
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

// store connects to the platform for a command.
func (a *app) store() (*apply.Store, func(), error) {
	p, err := a.opts.Platform.resolve()
	if err != nil {
		return nil, nil, err
	}
	return a.env.Open(p)
}

// exitOf maps a failure to its exit code.
func exitOf(err error) int {
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
