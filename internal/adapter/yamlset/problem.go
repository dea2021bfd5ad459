package yamlset

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"peardrift/internal/status"
)

// Problem is one error in a configuration set, with its position.
type Problem struct {
	File    string `json:"file"`   // empty if it concerns the set as a whole
	Line    int    `json:"line"`   // from 1; 0 if it concerns the whole file
	Column  int    `json:"column"` // from 1
	Field   string `json:"field"`  // path inside the file, for example "services[0].classes[2].path"
	Message string `json:"message"`
}

// String returns the problem in the form "file:line:column: field: message".
func (p Problem) String() string {
	var b strings.Builder
	if p.File != "" {
		b.WriteString(p.File)
		if p.Line > 0 {
			fmt.Fprintf(&b, ":%d:%d", p.Line, p.Column)
		}
		b.WriteString(": ")
	}
	if p.Field != "" {
		b.WriteString(p.Field + ": ")
	}
	return b.String() + p.Message
}

// Problems is the error returned for an invalid set. It matches
// status.CodeInvalidSet.
type Problems []Problem

// Error returns one line per problem.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns an error with status.CodeInvalidSet, for errors.Is.
func (ps Problems) Unwrap() error {
	return status.New(status.CodeInvalidSet, "%d problems", len(ps))
}

// sorted sorts the problems by file, line and column, and returns them.
func (ps Problems) sorted() Problems {
	slices.SortStableFunc(ps, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return ps
}
