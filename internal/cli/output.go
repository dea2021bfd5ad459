package cli

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"peardrift/internal/adapter/yamlset"
	"peardrift/internal/apply"
	"peardrift/internal/core/request"
	"peardrift/internal/settings"
	"peardrift/internal/status"
)

const outputJSON = "json"

// failure is an error in JSON output.
type failure struct {
	Code     status.Code      `json:"code"`
	Detail   string           `json:"detail"`
	Exit     int              `json:"exit"`
	Problems yamlset.Problems `json:"problems,omitempty"`
	Conflict *conflict        `json:"conflict,omitempty"`
}

type conflict struct {
	Tenant  request.Tenant `json:"tenant"`
	Base    int64          `json:"base"`
	Current int64          `json:"current"`
}

// reportedError is a failure that the output already contains beside a result.
type reportedError struct{ error }

// Unwrap returns the failure.
func (s reportedError) Unwrap() error { return s.error }

// reportError prints an error, as JSON to standard output or as text to standard
// error, and returns the exit code.
func (a *app) reportError(err error) int {
	exit := exitCodeOf(err)
	if a.opts.Output != outputJSON {
		a.printError(err)
		return exit
	}
	if errors.As(err, new(reportedError)) {
		return exit // a second JSON value would break parsers of the output
	}
	if err := a.printJSON(map[string]failure{"error": newFailure(err)}); err != nil {
		return ExitFailure
	}
	return exit
}

func (a *app) printError(err error) {
	var set yamlset.Problems
	var file *settings.Invalid
	switch {
	case errors.As(err, &set):
		a.printf(a.env.Stderr, "%v\n", set) // file:line:column lines, which editors can follow
	case errors.As(err, &file):
		a.printf(a.env.Stderr, "%v\n", file) // likewise
	default:
		a.printf(a.env.Stderr, "peardrift: %v\n", err)
	}
}

func newFailure(err error) failure {
	f := failure{Code: status.CodeOf(err), Detail: err.Error(), Exit: exitCodeOf(err)}
	errors.As(err, &f.Problems)
	var c *apply.ConflictError
	if errors.As(err, &c) {
		f.Conflict = &conflict{Tenant: c.Tenant, Base: c.Base, Current: c.Current}
	}
	return f
}

// printResult prints a result: value as JSON, or the output of text. Text is
// buffered and written at once, so that a partial write is a failure: a script
// would otherwise accept a list truncated by a full disk.
func (a *app) printResult(value any, text func(w io.Writer)) error {
	if a.opts.Output == outputJSON {
		return a.printJSON(value)
	}
	var b bytes.Buffer
	text(&b)
	if _, err := b.WriteTo(a.env.Stdout); err != nil {
		return status.Wrap(status.CodeInternal, err, "cannot write the output")
	}
	return nil
}

func (a *app) printJSON(value any) error {
	enc := json.NewEncoder(a.env.Stdout)
	enc.SetIndent("", "  ")
	if err := enc.Encode(value); err != nil {
		return status.Wrap(status.CodeInternal, err, "cannot write the output")
	}
	return nil
}

// printf writes text to memory or to standard error. It ignores errors, since a
// failing standard error leaves nowhere to report them.
func (a *app) printf(w io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(w, format, args...)
}
