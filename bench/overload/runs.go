package overload

import (
	"bufio"
	"cmp"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"peardrift/internal/status"
)

// run is one finished run at a target.
type run struct {
	service  string
	began    time.Time
	slotTime time.Duration // how long it held its slot
}

// finishedRuns returns the finished runs at all targets by mark, in order of their start.
func (l *Lab) finishedRuns(nodes bool) (map[string][]run, error) {
	out := make(map[string][]run)
	err := l.readLines(nodes, workSuffix, func(v []string) {
		if len(v) != 5 {
			return
		}
		began, err := strconv.ParseInt(v[3], 10, 64)
		slotTime, err2 := strconv.ParseInt(v[4], 10, 64)
		if err == nil && err2 == nil {
			out[v[2]] = append(out[v[2]], run{service: v[0], began: time.UnixMicro(began), slotTime: time.Duration(slotTime) * time.Microsecond})
		}
	})
	for _, rs := range out {
		slices.SortFunc(rs, func(a, b run) int { return cmp.Compare(a.began.UnixMicro(), b.began.UnixMicro()) })
	}
	return out, err
}

// startedRuns counts the started runs by service and mark, including those of targets that
// have since stopped.
func (l *Lab) startedRuns(nodes bool) (map[[2]string]int, error) {
	out := make(map[[2]string]int)
	err := l.readLines(nodes, runsSuffix, func(v []string) {
		if len(v) == 4 {
			out[[2]string{v[0], v[3]}]++
		}
	})
	return out, err
}

// readLines calls f with the fields of each line of the targets' log files with a suffix.
func (l *Lab) readLines(nodes bool, suffix string, f func([]string)) error {
	hosts := l.Fleet.Direct
	if nodes {
		hosts = l.Fleet.Hosts
	}
	for _, h := range hosts {
		file, err := os.Open(filepath.Join(l.Fleet.Dir, h.Name+suffix))
		if err != nil {
			return status.Wrap(CodeOverload, err, "open the run log of %s", h.Name)
		}
		for sc := bufio.NewScanner(file); sc.Scan(); {
			f(strings.Split(sc.Text(), "\t"))
		}
		_ = file.Close()
	}
	return nil
}
