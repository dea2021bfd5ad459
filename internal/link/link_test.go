package link

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// echo serves connections that send back what comes.
func echo(t *testing.T) *Link {
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

func dial(t *testing.T, l *Link) net.Conn {
	c, err := net.Dial("tcp", l.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func say(c net.Conn, s string) (string, error) {
	if _, err := io.WriteString(c, s); err != nil {
		return "", err
	}
	b := make([]byte, len(s))
	n, err := io.ReadFull(c, b)
	return string(b[:n]), err
}

func TestCutAtAByte(t *testing.T) {
	for _, w := range []Way{Request, Answer} {
		for _, h := range []How{Reset, Finish, Kill} {
			t.Run(w.String()+" "+h.String(), func(t *testing.T) {
				is := is.New(t)
				l := echo(t)
				c := dial(t, l)
				s, err := say(c, "first")
				is.NoErr(err)
				is.Equal(s, "first")
				struck := l.Arm(Cut{Way: w, After: 3, How: h})
				_, err = say(c, "second")
				is.True(err != nil)
				<-struck
				is.Equal(l.Passed(w), 3)
				if h == Kill {
					_, err := net.Dial("tcp", l.Addr())
					is.True(err != nil)
				}
				is.NoErr(l.Disarm())
				s, err = say(dial(t, l), "third")
				is.NoErr(err)
				is.Equal(s, "third")
			})
		}
	}
}

func TestSilenceSparesNewConnections(t *testing.T) {
	is := is.New(t)
	l := echo(t)
	old := dial(t, l)
	_, err := say(old, "x")
	is.NoErr(err)
	l.Break(Silence)
	_, err = io.WriteString(old, "lost")
	is.NoErr(err)
	s, err := say(dial(t, l), "new")
	is.NoErr(err)
	is.Equal(s, "new")
	is.NoErr(old.SetReadDeadline(time.Now().Add(10 * time.Millisecond)))
	_, err = old.Read(make([]byte, 1))
	var nerr net.Error
	is.True(err != nil && asNet(err, &nerr) && nerr.Timeout()) // not even an end
}

func TestStallTakesNothing(t *testing.T) {
	is := is.New(t)
	l := echo(t)
	old := dial(t, l)
	_, err := say(old, "x")
	is.NoErr(err)
	l.Break(Stall)
	is.NoErr(old.SetWriteDeadline(time.Now().Add(time.Second)))
	_, err = old.Write(make([]byte, 64<<20)) // more than the buffers on the way
	var nerr net.Error
	is.True(err != nil && asNet(err, &nerr) && nerr.Timeout())
	s, err := say(dial(t, l), "new")
	is.NoErr(err)
	is.Equal(s, "new")
}

func asNet(err error, to *net.Error) bool {
	n, ok := err.(net.Error)
	*to = n
	return ok
}
