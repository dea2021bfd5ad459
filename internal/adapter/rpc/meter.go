package rpc

import (
	"net"
	"sync/atomic"
)

// Costs of TCP over IPv4 in bytes. Packets are counted from the sizes of reads
// and writes, and each read is charged one pure acknowledgement: a call with a
// one-packet request and reply takes three packets at each end. It is an upper
// estimate, since acknowledgements are often combined.
const (
	packetHeader = 20 + 20 + 12 // IP, TCP, timestamps option
	packetData   = 1448         // payload that fits an Ethernet frame
	openCost     = 3*packetHeader + 16
	closeCost    = 4 * packetHeader
)

// Meter counts the bytes of the control traffic, with TCP and IP headers, sent
// and received. The zero value is ready for use.
type Meter struct {
	total   atomic.Int64
	untaken atomic.Int64
	calls   atomic.Int64
}

func (m *Meter) add(n int) {
	m.total.Add(int64(n))
	m.untaken.Add(int64(n))
}

// Total returns the bytes since the start.
func (m *Meter) Total() int64 { return m.total.Load() }

// Calls returns the calls answered or made since the start.
func (m *Meter) Calls() int64 { return m.calls.Load() }

// Take returns the bytes since the last Take; pass them to member.State.Spend.
func (m *Meter) Take() int { return max(0, int(m.untaken.Swap(0))) }

// Waive leaves a call that was answered, of so many bytes of request and reply,
// out of what Take returns. What calls of tenants' traffic cost must not keep
// membership from spreading its news.
func (m *Meter) Waive(bytes int) {
	m.untaken.Add(-int64(bytes + (2*packets(bytes)+1)*packetHeader))
}

func packets(n int) int { return (n + packetData - 1) / packetData }

// meteredConn counts what goes over a connection.
type meteredConn struct {
	net.Conn
	meter  *Meter
	closed atomic.Bool
}

func newMeteredConn(c net.Conn, m *Meter) *meteredConn {
	m.add(openCost)
	return &meteredConn{Conn: c, meter: m}
}

func (c *meteredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.meter.add(n + (packets(n)+1)*packetHeader)
	}
	return n, err
}

func (c *meteredConn) Write(b []byte) (int, error) {
	// Counted before it is written: the peer may have its reply, and look at the
	// meter, before this goroutine runs on.
	c.meter.add(len(b) + packets(len(b))*packetHeader)
	return c.Conn.Write(b)
}

func (c *meteredConn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		c.meter.add(closeCost)
	}
	return c.Conn.Close()
}
