package latency

import (
	"net"

	"peardrift/internal/status"
)

// portsOfNode is the number of a node's listeners.
const portsOfNode = 5

// freePorts returns distinct free addresses.
func freePorts(n int) ([]string, error) {
	var held []net.Listener
	defer func() {
		for _, ln := range held {
			_ = ln.Close()
		}
	}()
	var out []string
	for range n {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, status.Wrap(status.CodeListen, err, "no free port")
		}
		held = append(held, ln)
		out = append(out, ln.Addr().String())
	}
	return out, nil
}
