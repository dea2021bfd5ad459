package faultproxy

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// newEchoProxy returns a proxy for an echo server.
func newEchoProxy(t *testing.T) *Proxy {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				_, _ = io.Copy(c, c)
			}()
		}
	}()
	l, err := Listen(ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		l.Close()
		_ = ln.Close()
	})
	return l
}

func dial(t *testing.T, l *Proxy) net.Conn {
	c, err := net.Dial("tcp", l.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func roundTrip(c net.Conn, s string) (string, error) {
	if _, err := io.WriteString(c, s); err != nil {
		return "", err
	}
	b := make([]byte, len(s))
	n, err := io.ReadFull(c, b)
	return string(b[:n]), err
}

func TestCutAtByte(t *testing.T) {
	for _, w := range []Direction{Request, Answer} {
		for _, h := range []Fault{Reset, CloseGracefully, Kill} {
			t.Run(w.String()+" "+h.String(), func(t *testing.T) {
				is := is.New(t)
				l := newEchoProxy(t)
				c := dial(t, l)
				s, err := roundTrip(c, "first")
				is.NoErr(err)
				is.Equal(s, "first")
				cutDone := l.Arm(Cut{Direction: w, After: 3, Fault: h})
				_, err = roundTrip(c, "second")
				is.True(err != nil)
				<-cutDone
				is.Equal(l.PassedBytes(w), 3)
				if h == Kill {
					_, err := net.Dial("tcp", l.Addr())
					is.True(err != nil)
				}
				is.NoErr(l.Disarm())
				s, err = roundTrip(dial(t, l), "third")
				is.NoErr(err)
				is.Equal(s, "third")
			})
		}
	}
}

func TestBlackholeKeepsNewConnections(t *testing.T) {
	is := is.New(t)
	l := newEchoProxy(t)
	old := dial(t, l)
	_, err := roundTrip(old, "x")
	is.NoErr(err)
	l.Break(Blackhole)
	_, err = io.WriteString(old, "lost")
	is.NoErr(err)
	s, err := roundTrip(dial(t, l), "new")
	is.NoErr(err)
	is.Equal(s, "new")
	is.NoErr(old.SetReadDeadline(time.Now().Add(10 * time.Millisecond)))
	_, err = old.Read(make([]byte, 1))
	var nerr net.Error
	is.True(err != nil && asNetError(err, &nerr) && nerr.Timeout()) // not even an end of stream
}

func TestStallBlocksWriters(t *testing.T) {
	is := is.New(t)
	l := newEchoProxy(t)
	old := dial(t, l)
	_, err := roundTrip(old, "x")
	is.NoErr(err)
	l.Break(Stall)
	is.NoErr(old.SetWriteDeadline(time.Now().Add(time.Second)))
	_, err = old.Write(make([]byte, 64<<20)) // exceeds the buffers on the path
	var nerr net.Error
	is.True(err != nil && asNetError(err, &nerr) && nerr.Timeout())
	s, err := roundTrip(dial(t, l), "new")
	is.NoErr(err)
	is.Equal(s, "new")
}

func asNetError(err error, to *net.Error) bool {
	n, ok := err.(net.Error)
	*to = n
	return ok
}
