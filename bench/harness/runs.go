package harness

import (
	"bufio"
	"os"
	"path/filepath"
	"strings"

	"peardrift/internal/status"
)

const runsSuffix = ".runs"

// Run is one run that a target has logged.
type Run struct{ Service, Path, Key, Mark string }

// RunsFile returns the path for target.Config.RunsFile of a host from which Runs reads.
func (f *Fleet) RunsFile(h *Host) string { return filepath.Join(f.Dir, h.Name+runsSuffix) }

// Runs reads all runs so far, of all target processes, including exited ones.
func (f *Fleet) Runs() ([]Run, error) {
	files, err := filepath.Glob(filepath.Join(f.Dir, "*"+runsSuffix))
	if err != nil {
		return nil, status.Wrap(CodeHarness, err, "list the run logs")
	}
	var all []Run
	for _, name := range files {
		rs, err := readRuns(name)
		if err != nil {
			return nil, err
		}
		all = append(all, rs...)
	}
	return all, nil
}

func readRuns(name string) (rs []Run, err error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, status.Wrap(CodeHarness, err, "open the run log")
	}
	defer f.Close()
	for sc := bufio.NewScanner(f); sc.Scan(); {
		if v := strings.Split(sc.Text(), "\t"); len(v) == 4 {
			rs = append(rs, Run{v[0], v[1], v[2], v[3]})
		}
	}
	return rs, nil
}
