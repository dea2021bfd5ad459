package main

import (
	"errors"
	"io/fs"
	"os"
	"strings"

	"peardrift/internal/status"
)

// maxKnown limits the list, so that known faults are fixed before more are added.
const maxKnown = 3

// knownFailure is a line of the list: a test that fails because of a known fault, the
// cause, and the issue that tracks it.
type knownFailure struct {
	test, cause, issue string
}

const (
	fieldSeparator = " | "
	fieldCount     = 3
	commentPrefix  = "#"
)

// readKnown reads the list. A missing file is an empty list.
func readKnown(file string) ([]knownFailure, error) {
	b, err := os.ReadFile(file)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, status.Wrap(codeCI, err, "read %s", file)
	}
	return parseKnown(string(b))
}

func parseKnown(text string) ([]knownFailure, error) {
	var out []knownFailure
	for line := range strings.Lines(text) {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, commentPrefix) {
			continue
		}
		f := strings.Split(line, fieldSeparator)
		if len(f) != fieldCount || !strings.Contains(f[0], ".Test") {
			return nil, status.New(codeCI, "line %q does not have the form \"package.Test | cause | issue\"", line)
		}
		out = append(out, knownFailure{test: f[0], cause: f[1], issue: f[2]})
	}
	if len(out) > maxKnown {
		return nil, status.New(codeCI, "%d tests are listed as known failures, at most %d are allowed", len(out), maxKnown)
	}
	return out, nil
}
