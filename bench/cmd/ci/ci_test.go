package main

import (
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const knownList = "p.TestA | a fault | issue 5\n"

// Guards against a list that excuses more than the tests it names: CI would pass when
// another test, a panic or a build failure occurs along with a listed failure.
func TestOnlyListedTestsMayFail(t *testing.T) {
	ev := func(action, test string) string {
		return `{"Action":"` + action + `","Package":"p","Test":"` + test + `"}` + "\n"
	}
	out := func(text string) string {
		return `{"Action":"output","Package":"p","Test":"TestA","Output":"` + text + `"}` + "\n"
	}
	for _, tt := range []struct {
		name, events                       string
		unexpected, knownFailures, passing int
	}{
		{"all pass", ev("pass", "TestA") + ev("pass", ""), 0, 0, 1},
		{"the listed one fails", ev("fail", "TestA") + ev("fail", ""), 0, 1, 0},
		{"a part of it fails", ev("fail", "TestA/x") + ev("fail", "TestA") + ev("fail", ""), 0, 1, 0},
		{"another fails", ev("fail", "TestB") + ev("pass", "TestA") + ev("fail", ""), 1, 0, 1},
		{"one of like name fails", ev("fail", "TestAB") + ev("fail", ""), 1, 0, 0},
		{"the listed one panics", out("panic: x\\n") + ev("fail", "TestA") + ev("fail", ""), 1, 1, 0},
		{"the package fails alone", ev("pass", "TestA") + ev("fail", ""), 1, 0, 1},
		{"it does not build", `{"Action":"build-fail","ImportPath":"p"}` + "\n" + ev("fail", ""), 1, 0, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			listed, err := parseKnown(knownList)
			is.NoErr(err)
			rep, err := readEvents(strings.NewReader(tt.events), io.Discard)
			is.NoErr(err)
			rep.failed = strings.Contains(tt.events, "fail")
			v := judge(rep, listed)
			is.Equal(len(v.unexpected), tt.unexpected)
			is.Equal(len(v.knownFailures), tt.knownFailures)
			is.Equal(len(v.passing), tt.passing)
		})
	}
}

func TestParseKnownRejectsInvalidLists(t *testing.T) {
	for name, text := range map[string]string{
		"too many":     strings.Repeat(knownList, maxKnown+1),
		"no issue":     "p.TestA | a fault\n",
		"no test name": "p | a fault | issue 5\n",
	} {
		t.Run(name, func(t *testing.T) {
			_, err := parseKnown(text)
			is.New(t).True(err != nil)
		})
	}
	got, err := parseKnown("# none\n\n" + knownList)
	is := is.New(t)
	is.NoErr(err)
	is.Equal(got, []knownFailure{{"p.TestA", "a fault", "issue 5"}})
}
