package settings

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"peardrift/internal/status"
)

// Problem is one problem in a settings file.
type Problem struct {
	Line, Column int    // 1-based; 0 if the file lacks the field
	Field        string // such as "listen.callers"; empty if the file isn't valid YAML
	Message      string
}

// String returns the problem as "line:column: field message".
func (p Problem) String() string {
	s := strings.TrimSpace(p.Field + " " + p.Message)
	if p.Line == 0 {
		return s
	}
	return fmt.Sprintf("%d:%d: %s", p.Line, p.Column, s)
}

// Invalid is the error of Load: all problems of one file.
type Invalid struct {
	File     string
	Problems []Problem // sorted by line and column, never empty
}

// Error implements error, with one line per problem.
func (e *Invalid) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		sep := ": "
		if p.Line > 0 {
			sep = ":"
		}
		lines = append(lines, e.File+sep+p.String())
	}
	return strings.Join(lines, "\n")
}

// Unwrap lets errors.Is and status.CodeOf find status.CodeInvalidSettings.
func (e *Invalid) Unwrap() error {
	return status.New(status.CodeInvalidSettings, "%d problems", len(e.Problems))
}

func newInvalid(file string, ps []Problem) *Invalid {
	slices.SortStableFunc(ps, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column), cmp.Compare(a.Field, b.Field))
	})
	return &Invalid{File: file, Problems: ps}
}
