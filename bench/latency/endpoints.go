package latency

import (
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

// nodesCPU returns the processor time of all nodes so far.
func nodesCPU(f *harness.Fleet) (sum time.Duration) {
	for _, h := range f.Hosts {
		sum += h.Node.CPU()
	}
	return sum
}

// resident returns the resident memory of each node in bytes.
func resident(f *harness.Fleet) (out []int64) {
	for _, h := range f.Hosts {
		out = append(out, h.Node.Resident())
	}
	return out
}
