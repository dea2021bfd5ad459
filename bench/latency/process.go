package latency

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"peardrift/bench/harness"
)

// ways returns both ways of a kind of request. Requests down the chain go to
// its first service, single hops to all services in turn: else the few targets
// of one service would take all of them, of which each is one call. Through
// nodes they enter at one that doesn't stand beside a target of the service, so
// that the call crosses from one instance to another.
func ways(f *harness.Fleet, path string) (nodes, direct way) {
	services := []string{first()}
	if path == PathHop {
		services = services[:0]
		for i := range Depth {
			services = append(services, serviceName(i+1))
		}
	}
	nodes.path, direct.path = path, path
	for _, s := range services {
		for _, url := range f.DirectURLs(s) {
			direct.doors = append(direct.doors, door{strings.TrimPrefix(url, "http://"), s})
		}
		for _, h := range f.Hosts {
			if h.Service != s {
				nodes.doors = append(nodes.doors, door{h.Addr.Callers, s})
			}
		}
	}
	return nodes, direct
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
