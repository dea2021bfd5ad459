package harness

import (
	"net"
	"os"
	"sync"
	"sync/atomic"

	"peardrift/internal/status"
)

const (
	loopbackNet = 127
	// pidBits is enough for any Linux process id. The remaining two of the 24
	// host bits of the loopback network distinguish the fleets of one process.
	pidBits = 22
	// fleetsPerProcess is one less than two bits can distinguish, so that the
	// network's broadcast address is never used.
	fleetsPerProcess = 3
)

var fleetCount atomic.Uint32

// loopback returns the n-th loopback address assigned to a process id.
func loopback(pid int, n uint32) net.IP {
	host := uint32(pid)&(1<<pidBits-1)<<2 | n%fleetsPerProcess
	return net.IPv4(loopbackNet, byte(host>>16), byte(host>>8), byte(host))
}

// ports allocates free ports. Each one stays bound until the process that will
// listen on it starts, so that nothing else in this fleet can take it.
//
// Between release and the process's own bind the port is free for a moment. On
// 127.0.0.1 an outgoing connection of any process on the machine, or another
// fleet, occasionally took it, and a node exited with "address in use" or a
// target was missing for the whole run. Each fleet therefore has a loopback
// address of its own: outgoing connections use 127.0.0.1 as their source, and
// other fleets listen on other addresses.
type ports struct {
	ip       net.IP
	mu       sync.Mutex
	reserved map[string]net.Listener
}

func newPorts() *ports {
	return &ports{ip: loopback(os.Getpid(), fleetCount.Add(1)), reserved: make(map[string]net.Listener)}
}

func (p *ports) reserve() (string, error) {
	ln, err := net.Listen("tcp", net.JoinHostPort(p.ip.String(), "0"))
	if err != nil {
		return "", status.Wrap(CodeHarness, err, "reserve a port")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reserved[ln.Addr().String()] = ln
	return ln.Addr().String(), nil
}

// release closes the placeholder listeners of addrs for the process that is
// about to bind them.
func (p *ports) release(addrs ...string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, a := range addrs {
		if ln, ok := p.reserved[a]; ok {
			_ = ln.Close()
			delete(p.reserved, a)
		}
	}
}

func (p *ports) releaseAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for a, ln := range p.reserved {
		_ = ln.Close()
		delete(p.reserved, a)
	}
}
