package main

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
)

// verdict is the comparison of a run with the list of known failures.
type verdict struct {
	unexpected    []string       // each entry fails the run
	knownFailures []knownFailure // listed and failed
	passing       []knownFailure // listed and passed
	notRun        []knownFailure // listed and not run
}

func judge(r *report, listed []knownFailure) verdict {
	var v verdict
	for _, name := range slices.Sorted(maps.Keys(r.failedTests)) {
		if r.isLeafFailure(name) && !isListed(name, listed) {
			v.unexpected = append(v.unexpected, name+" failed")
		}
	}
	for _, pkg := range slices.Sorted(maps.Keys(r.brokenPackages)) {
		v.unexpected = append(v.unexpected, pkg+" did not build or panicked")
	}
	for _, pkg := range r.failedPackages {
		if r.failuresByPackage[pkg] == 0 && !r.brokenPackages[pkg] {
			v.unexpected = append(v.unexpected, pkg+" failed, but none of its tests did")
		}
	}
	if r.failed && len(r.failedTests) == 0 && len(v.unexpected) == 0 {
		v.unexpected = append(v.unexpected, "go test failed before running any test")
	}
	for _, k := range listed {
		switch {
		case r.failedTests[k.test]:
			v.knownFailures = append(v.knownFailures, k)
		case r.passedTests[k.test]:
			v.passing = append(v.passing, k)
		default:
			v.notRun = append(v.notRun, k)
		}
	}
	return v
}

// isLeafFailure reports whether a failed test has no failed subtest. A test with a failed
// subtest fails too.
func (r *report) isLeafFailure(name string) bool {
	for other := range r.failedTests {
		if strings.HasPrefix(other, name+"/") {
			return false
		}
	}
	return true
}

// isListed reports whether a test or one of its parent tests is listed.
func isListed(name string, listed []knownFailure) bool {
	return slices.ContainsFunc(listed, func(k knownFailure) bool {
		return name == k.test || strings.HasPrefix(name, k.test+"/")
	})
}

func (v *verdict) print(out io.Writer) {
	for _, k := range v.knownFailures {
		fmt.Fprintf(out, "KNOWN RED: %s fails: %s (%s)\n", k.test, k.cause, k.issue)
	}
	for _, k := range v.passing {
		fmt.Fprintf(out, "LISTED BUT PASSES: %s, remove it from the list if it keeps passing (%s)\n", k.test, k.issue)
	}
	for _, k := range v.notRun {
		fmt.Fprintf(out, "LISTED, NOT RUN: %s (%s)\n", k.test, k.issue)
	}
	for _, f := range v.unexpected {
		fmt.Fprintf(out, "FAULT: %s\n", f)
	}
}
