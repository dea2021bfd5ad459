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

// run is one run of a target that has ended.
type run struct {
	service string
	began   time.Time
	held    time.Duration // how long it held its slot
}

// work reads the ended runs of this fleet's targets by mark, in order of begin.
func (l *Lab) work(nodes bool) (map[string][]run, error) {
	out := make(map[string][]run)
	err := l.lines(nodes, workSuffix, func(v []string) {
		if len(v) != 5 {
			return
		}
		began, err := strconv.ParseInt(v[3], 10, 64)
		held, err2 := strconv.ParseInt(v[4], 10, 64)
		if err == nil && err2 == nil {
			out[v[2]] = append(out[v[2]], run{service: v[0], began: time.UnixMicro(began), held: time.Duration(held) * time.Microsecond})
		}
	})
	for _, rs := range out {
		slices.SortFunc(rs, func(a, b run) int { return cmp.Compare(a.began.UnixMicro(), b.began.UnixMicro()) })
	}
	return out, err
}

// begun counts the runs that began, by service and mark, also of targets that
// were stopped since.
func (l *Lab) begun(nodes bool) (map[[2]string]int, error) {
	out := make(map[[2]string]int)
	err := l.lines(nodes, runsSuffix, func(v []string) {
		if len(v) == 4 {
			out[[2]string{v[0], v[3]}]++
		}
	})
	return out, err
}

// lines calls f with the fields of each line that the targets wrote.
func (l *Lab) lines(nodes bool, suffix string, f func([]string)) error {
	hosts := l.Fleet.Direct
	if nodes {
		hosts = l.Fleet.Hosts
	}
	for _, h := range hosts {
		file, err := os.Open(filepath.Join(l.Fleet.Dir, h.Name+suffix))
		if err != nil {
			return status.Wrap(CodeOverload, err, "what %s ran", h.Name)
		}
		for sc := bufio.NewScanner(file); sc.Scan(); {
			f(strings.Split(sc.Text(), "\t"))
		}
		_ = file.Close()
	}
	return nil
}
