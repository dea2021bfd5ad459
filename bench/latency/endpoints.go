package latency

import (
	"strings"
	"time"

	"peardrift/bench/harness"
)

// routesFor returns the routes of a kind of request, through nodes and directly. Chain
// requests go to the first service. Single-hop requests, which are one call each, go to
// all services in turn, because the few targets of one service would otherwise receive
// all of them. Through nodes, requests enter at nodes of other services, so that the
// call crosses from one instance to another.
func routesFor(f *harness.Fleet, path string) (nodes, direct route) {
	services := []string{firstService()}
	if path == PathHop {
		services = services[:0]
		for i := range ChainDepth {
			services = append(services, serviceName(i+1))
		}
	}
	nodes.path, direct.path = path, path
	for _, s := range services {
		for _, url := range f.DirectURLs(s) {
			direct.endpoints = append(direct.endpoints, endpoint{strings.TrimPrefix(url, "http://"), s})
		}
		for _, h := range f.Hosts {
			if h.Service != s {
				nodes.endpoints = append(nodes.endpoints, endpoint{h.Addr.Callers, s})
			}
		}
	}
	return nodes, direct
}

// nodesCPU returns the total CPU time of all nodes so far.
func nodesCPU(f *harness.Fleet) (sum time.Duration) {
	for _, h := range f.Hosts {
		sum += h.Node.CPUTime()
	}
	return sum
}

// residentMemory returns the resident memory of each node in bytes.
func residentMemory(f *harness.Fleet) (out []int64) {
	for _, h := range f.Hosts {
		out = append(out, h.Node.ResidentBytes())
	}
	return out
}
