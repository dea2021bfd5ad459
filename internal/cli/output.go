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

// failure is how an error appears in JSON output.
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

// shown is a failure that stands in the output already, beside a result.
type shown struct{ error }

// Unwrap returns the failure.
func (s shown) Unwrap() error { return s.error }

// fail reports an error and returns the exit code: in JSON on standard output,
// in text on standard error.
func (a *app) fail(err error) int {
	exit := exitOf(err)
	if a.opts.Output != outputJSON {
		a.failText(err)
		return exit
	}
	if errors.As(err, new(shown)) {
		return exit // a second JSON value would break what reads the first
	}
	if err := a.json(map[string]failure{"error": failureOf(err)}); err != nil {
		return ExitFailure
	}
	return exit
}

func (a *app) failText(err error) {
	var set yamlset.Problems
	var file *settings.Invalid
	switch {
	case errors.As(err, &set):
		a.printf(a.env.Stderr, "%v\n", set) // lines that editors can jump by
	case errors.As(err, &file):
		a.printf(a.env.Stderr, "%v\n", file) // likewise
	default:
		a.printf(a.env.Stderr, "peardrift: %v\n", err)
	}
}

func failureOf(err error) failure {
	f := failure{Code: status.CodeOf(err), Detail: err.Error(), Exit: exitOf(err)}
	errors.As(err, &f.Problems)
	var c *apply.ConflictError
	if errors.As(err, &c) {
		f.Conflict = &conflict{Tenant: c.Tenant, Base: c.Base, Current: c.Current}
	}
	return f
}

// show prints a result: the value as JSON, or what text prints. The text is
// written at once, so that one which can't be written whole is a failure: a
// script would else take a list cut by a full disk for the whole.
func (a *app) show(value any, text func(w io.Writer)) error {
	if a.opts.Output == outputJSON {
		return a.json(value)
	}
	var b bytes.Buffer
	text(&b)
	if _, err := b.WriteTo(a.env.Stdout); err != nil {
		return status.Wrap(status.CodeInternal, err, "cannot write the output")
	}
	return nil
}

func (a *app) json(value any) error {
	enc := json.NewEncoder(a.env.Stdout)
	enc.SetIndent("", "  ")
	if err := enc.Encode(value); err != nil {
		return status.Wrap(status.CodeInternal, err, "cannot write the output")
	}
	return nil
}

// printf writes text, to memory or to standard error. Where that has gone, there
// is nowhere left to tell it.
func (a *app) printf(w io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(w, format, args...)
}
