package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"peardrift/internal/status"
)

// event is a line of output of go test -json; see go doc test2json.
type event struct {
	Action, Package, ImportPath, Test, Output string
}

// report is the result of a run of go test.
type report struct {
	failed            bool            // go test exited with an error
	failedTests       map[string]bool // as "package.Test"
	passedTests       map[string]bool // as "package.Test"
	brokenPackages    map[string]bool // packages that did not build, panicked or hit a fatal error
	failuresByPackage map[string]int  // number of failed tests by package
	failedPackages    []string
}

func newReport() *report {
	return &report{
		failedTests:       make(map[string]bool),
		passedTests:       make(map[string]bool),
		brokenPackages:    make(map[string]bool),
		failuresByPackage: make(map[string]int),
	}
}

// maxEventBytes is the maximum size of one line of output.
const maxEventBytes = 4 << 20

// readEvents reads the events and prints a line for each package and all output of failed
// tests, as go test does.
func readEvents(events io.Reader, out io.Writer) (*report, error) {
	rep := newReport()
	buffered := make(map[string]*strings.Builder)
	lines := bufio.NewScanner(events)
	lines.Buffer(nil, maxEventBytes)
	for lines.Scan() {
		var e event
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			fmt.Fprintln(out, lines.Text()) // not an event but plain text of go test
			continue
		}
		rep.handleEvent(&e, buffered, out)
	}
	if err := lines.Err(); err != nil {
		return nil, status.Wrap(codeCI, err, "read the output of go test")
	}
	return rep, nil
}

func (r *report) handleEvent(e *event, buffered map[string]*strings.Builder, out io.Writer) {
	name := e.Package + "." + e.Test
	switch {
	case e.Action == "build-output":
		fmt.Fprint(out, e.Output)
	case e.Action == "build-fail":
		r.brokenPackages[e.ImportPath] = true
	case e.Action == "output":
		r.handleOutput(e, name, buffered, out)
	case e.Action == "fail" && e.Test != "":
		r.failedTests[name] = true
		r.failuresByPackage[e.Package]++
		if buffered[name] != nil {
			fmt.Fprint(out, buffered[name])
		}
		delete(buffered, name)
	case e.Action == "fail":
		r.failedPackages = append(r.failedPackages, e.Package)
	case e.Action == "pass" && e.Test != "":
		r.passedTests[name] = true
		delete(buffered, name)
	}
}

// handleOutput buffers a test's output until the test ends. A panic keeps the package's
// remaining tests from running, so it must not count as one known failure.
func (r *report) handleOutput(e *event, name string, buffered map[string]*strings.Builder, out io.Writer) {
	if strings.HasPrefix(e.Output, "panic: ") || strings.HasPrefix(e.Output, "fatal error: ") {
		r.brokenPackages[e.Package] = true
	}
	if e.Test == "" {
		if e.Output != "PASS\n" {
			fmt.Fprint(out, e.Output)
		}
		return
	}
	if buffered[name] == nil {
		buffered[name] = new(strings.Builder)
	}
	buffered[name].WriteString(e.Output)
}
