package latency

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"peardrift/bench/harness"
)

// entries returns the callers' faces of the nodes that don't stand beside a
// target of the first service: the call crosses from one instance to another.
func entries(f *harness.Fleet) []string {
	var out []string
	for _, h := range f.Hosts {
		if h.Service != first() {
			out = append(out, h.Addr.Callers)
		}
	}
	return out
}

func hostPorts(urls []string) []string {
	var out []string
	for _, u := range urls {
		out = append(out, strings.TrimPrefix(u, "http://"))
	}
	return out
}

// tick is the unit of processor time in /proc: USER_HZ is 100 on Linux.
const tick = 10 * time.Millisecond

// Positions of user and system time in /proc/PID/stat, counted after the
// program's name in parentheses.
const (
	fieldUser   = 11
	fieldSystem = 12
)

// nodesCPU returns the processor time of all nodes so far.
func nodesCPU(f *harness.Fleet) time.Duration {
	var sum time.Duration
	for _, h := range f.Hosts {
		b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", h.Node.Pid()))
		if err != nil {
			continue
		}
		_, rest, _ := strings.Cut(string(b), ") ")
		fields := strings.Fields(rest)
		for _, i := range []int{fieldUser, fieldSystem} {
			if n, err := strconv.ParseInt(fields[i], 10, 64); err == nil {
				sum += time.Duration(n) * tick
			}
		}
	}
	return sum
}

// resident returns the resident memory of each node in bytes.
func resident(f *harness.Fleet) []int64 {
	var out []int64
	for _, h := range f.Hosts {
		b, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", h.Node.Pid()))
		if err != nil {
			continue
		}
		if fields := strings.Fields(string(b)); len(fields) > 1 {
			pages, _ := strconv.ParseInt(fields[1], 10, 64)
			out = append(out, pages*int64(os.Getpagesize()))
		}
	}
	return out
}
