package cli

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"peardrift/internal/adapter/yamlset"
	"peardrift/internal/apply"
	"peardrift/internal/core/request"
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

// fail reports an error and returns the exit code: in JSON on standard output,
// in text on standard error.
func (a *app) fail(err error) int {
	exit := exitOf(err)
	var problems yamlset.Problems
	listed := errors.As(err, &problems)
	if a.opts.Output != outputJSON {
		if listed {
			a.printf(a.env.Stderr, "%v\n", problems) // lines that editors can jump by
		} else {
			a.printf(a.env.Stderr, "peardrift: %v\n", err)
		}
		return exit
	}
	f := failure{Code: status.CodeOf(err), Detail: err.Error(), Exit: exit, Problems: problems}
	var c *apply.Conflict
	if errors.As(err, &c) {
		f.Conflict = &conflict{Tenant: c.Tenant, Base: c.Base, Current: c.Current}
	}
	if err := a.json(map[string]failure{"error": f}); err != nil {
		return ExitFailure
	}
	return exit
}

// show prints a result: the value as JSON, or what text prints.
func (a *app) show(value any, text func(w io.Writer)) error {
	if a.opts.Output == outputJSON {
		return a.json(value)
	}
	text(a.env.Stdout)
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

// printf writes text. A failure to write to a terminal or pipe that has gone
// has nowhere left to be told.
func (a *app) printf(w io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(w, format, args...)
}
