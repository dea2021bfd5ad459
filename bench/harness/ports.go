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
	// pidBits hold any process id of Linux; two of the 24 bits below the
	// loopback network are left to tell the fleets of one process apart.
	pidBits = 22
	// fleetsApart is one less than two bits tell apart, so that the network's
	// broadcast address is never used.
	fleetsApart = 3
)

var fleets atomic.Uint32

// loopback returns the n-th address of the loopback network that belongs to the
// process with that id.
func loopback(pid int, n uint32) net.IP {
	host := uint32(pid)&(1<<pidBits-1)<<2 | n%fleetsApart
	return net.IPv4(loopbackNet, byte(host>>16), byte(host>>8), byte(host))
}

// ports hands out free ports. Each is held bound until the process that is to
// listen on it starts, so that no other part of this fleet takes it before.
//
// Between release and the process's own bind the port is free for a moment. On
// 127.0.0.1 an outgoing connection of any process of the machine, or another
// fleet, then took it now and then, and a node ended with "address in use" or a
// target was missing for the whole run. So each fleet has a loopback address of
// its own: outgoing connections start from 127.0.0.1, other fleets listen
// elsewhere.
type ports struct {
	ip   net.IP
	mu   sync.Mutex
	held map[string]net.Listener
}

func newPorts() *ports {
	return &ports{ip: loopback(os.Getpid(), fleets.Add(1)), held: make(map[string]net.Listener)}
}

func (p *ports) take() (string, error) {
	ln, err := net.Listen("tcp", net.JoinHostPort(p.ip.String(), "0"))
	if err != nil {
		return "", status.Wrap(CodeHarness, err, "no free port")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.held[ln.Addr().String()] = ln
	return ln.Addr().String(), nil
}

// release frees ports for the process that is about to start.
func (p *ports) release(addrs ...string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, a := range addrs {
		if ln, ok := p.held[a]; ok {
			_ = ln.Close()
			delete(p.held, a)
		}
	}
}

func (p *ports) releaseAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for a, ln := range p.held {
		_ = ln.Close()
		delete(p.held, a)
	}
}
