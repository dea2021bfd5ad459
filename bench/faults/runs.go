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

// run is one line of a target's run log.
type run struct{ service, path, key, mark string }

// runs reads all runs so far, of all target processes, including exited ones.
func (l *Lab) runs() ([]run, error) {
	files, err := filepath.Glob(filepath.Join(l.Fleet.Dir, "*"+runsSuffix))
	if err != nil {
		return nil, status.Wrap(harness.CodeHarness, err, "list the run logs")
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
		return nil, status.Wrap(harness.CodeHarness, err, "open the run log")
	}
	defer f.Close()
	for sc := bufio.NewScanner(f); sc.Scan(); {
		if v := strings.Split(sc.Text(), "\t"); len(v) == 4 {
			rs = append(rs, run{v[0], v[1], v[2], v[3]})
		}
	}
	return rs, nil
}

// runCounts counts the runs of each mark: at all services, and at the service that the
// request was sent to.
type runCounts struct{ all, atService map[string]int }

func (l *Lab) countRuns(hosts map[string]string) (runCounts, error) {
	t := runCounts{map[string]int{}, map[string]int{}}
	rs, err := l.runs()
	for _, r := range rs {
		t.all[r.mark]++
		if r.service == hosts[classOf(r.mark)] {
			t.atService[r.mark]++
		}
	}
	return t, err
}

// classOf returns the class in a mark set by the stand-in client.
func classOf(mark string) string {
	class, _, _ := strings.Cut(mark, "-")
	return class
}
