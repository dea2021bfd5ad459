package latency

import (
	"net"

	"peardrift/internal/status"
)

// portsPerNode is the number of listeners of a node.
const portsPerNode = 5

// freePorts returns n distinct loopback addresses with free ports.
func freePorts(n int) ([]string, error) {
	var listeners []net.Listener
	defer func() {
		for _, ln := range listeners {
			_ = ln.Close()
		}
	}()
	var out []string
	for range n {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, status.Wrap(status.CodeListen, err, "no free port")
		}
		listeners = append(listeners, ln)
		out = append(out, ln.Addr().String())
	}
	return out, nil
}
