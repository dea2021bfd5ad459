package rpc

import (
	"net"
	"sync/atomic"
)

// Overhead of TCP over IPv4 in bytes. Packets are counted from the sizes of reads
// and writes, and each read is charged one pure ACK: a call with a one-packet
// request and reply takes three packets at each end. This is an upper estimate,
// since ACKs are often combined or piggybacked.
const (
	packetHeaderBytes = 20 + 20 + 12 // IP, TCP, timestamps option
	maxSegmentBytes   = 1448         // payload that fits an Ethernet frame
	connectBytes      = 3*packetHeaderBytes + 16
	closeBytes        = 4 * packetHeaderBytes
)

// Meter counts the bytes of control traffic sent and received, including TCP
// and IP headers. The zero value is ready to use.
type Meter struct {
	total          atomic.Int64
	sinceTakeBytes atomic.Int64
	calls          atomic.Int64
}

func (m *Meter) add(n int) {
	m.total.Add(int64(n))
	m.sinceTakeBytes.Add(int64(n))
}

// Total returns the bytes counted since the start.
func (m *Meter) Total() int64 { return m.total.Load() }

// Calls returns the number of calls answered or made since the start.
func (m *Meter) Calls() int64 { return m.calls.Load() }

// TakeBytes returns the bytes counted since its last call; pass them to
// member.State.Spend.
func (m *Meter) TakeBytes() int { return max(0, int(m.sinceTakeBytes.Swap(0))) }

// Exclude excludes an answered call, given the bytes of its request and reply,
// from what TakeBytes returns. Calls on behalf of tenants' traffic must not use up
// the bandwidth budget of membership gossip.
func (m *Meter) Exclude(bytes int) {
	m.sinceTakeBytes.Add(-int64(bytes + (2*packets(bytes)+1)*packetHeaderBytes))
}

func packets(n int) int { return (n + maxSegmentBytes - 1) / maxSegmentBytes }

// meteredConn counts the traffic of a connection.
type meteredConn struct {
	net.Conn
	meter  *Meter
	closed atomic.Bool
}

func newMeteredConn(c net.Conn, m *Meter) *meteredConn {
	m.add(connectBytes)
	return &meteredConn{Conn: c, meter: m}
}

func (c *meteredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.meter.add(n + (packets(n)+1)*packetHeaderBytes)
	}
	return n, err
}

func (c *meteredConn) Write(b []byte) (int, error) {
	// Count before the write: the peer may receive the reply and read the meter
	// before this goroutine resumes.
	c.meter.add(len(b) + packets(len(b))*packetHeaderBytes)
	return c.Conn.Write(b)
}

func (c *meteredConn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		c.meter.add(closeBytes)
	}
	return c.Conn.Close()
}
