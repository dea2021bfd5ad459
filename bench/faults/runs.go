package faults

import (
	"bufio"
	"os"
	"path/filepath"
	"strings"

	"peardrift/bench/harness"
	"peardrift/internal/status"
)

const runsSuffix = ".runs"

// run is one line of a target's file of runs.
type run struct{ service, path, key, mark string }

// runs reads what has run so far, on all targets that ever lived.
func (l *Lab) runs() ([]run, error) {
	files, err := filepath.Glob(filepath.Join(l.Fleet.Dir, "*"+runsSuffix))
	if err != nil {
		return nil, status.Wrap(harness.CodeHarness, err, "files of runs")
	}
	var all []run
	for _, name := range files {
		rs, err := readRuns(name)
		if err != nil {
			return nil, err
		}
		all = append(all, rs...)
	}
	return all, nil
}

func readRuns(name string) (rs []run, err error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, status.Wrap(harness.CodeHarness, err, "file of runs")
	}
	defer f.Close()
	for sc := bufio.NewScanner(f); sc.Scan(); {
		if v := strings.Split(sc.Text(), "\t"); len(v) == 4 {
			rs = append(rs, run{v[0], v[1], v[2], v[3]})
		}
	}
	return rs, nil
}

// tally counts the runs of each mark: in all, and at the service that the
// request went to.
type tally struct{ all, own map[string]int }

func (l *Lab) tally(hosts map[string]string) (tally, error) {
	t := tally{map[string]int{}, map[string]int{}}
	rs, err := l.runs()
	for _, r := range rs {
		t.all[r.mark]++
		if r.service == hosts[classOf(r.mark)] {
			t.own[r.mark]++
		}
	}
	return t, err
}

// classOf returns the class in a mark of the stand-in caller's.
func classOf(mark string) string {
	class, _, _ := strings.Cut(mark, "-")
	return class
}
