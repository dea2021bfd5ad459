package e2e_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"peardrift/bench/standin/target"
	"peardrift/internal/core/request"
	"peardrift/internal/faultproxy"
)

// script answers the requests of one connection to a scripted target. got is
// the size of the request's body, which came whole.
type script func(c net.Conn, r *http.Request, got int64)

// addScript starts a host whose target follows a script, and returns the number
// of connections that are open to the target.
func (c *cluster) addScript(name, svc string, s script) (*host, *atomic.Int64) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(func() { _ = ln.Close() })
	open := new(atomic.Int64)
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			open.Add(1)
			go func() {
				defer open.Add(-1)
				follow(conn, s)
			}()
		}
	}()
	h := &host{name: name, svc: request.Service(svc)}
	c.join(h, ln.Addr().String(), nil)
	return h, open
}

func follow(c net.Conn, s script) {
	defer c.Close()
	for br := bufio.NewReader(c); ; {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		got, err := io.Copy(io.Discard, r.Body)
		if err != nil {
			return
		}
		s(c, r, got)
	}
}

// own is the whole answer to a request, as bytes on the wire.
func own(r *http.Request) string {
	b := target.Answer{Service: r.Host, Path: r.URL.Path, Mark: r.Header.Get("X-Mark"), Size: 50}.Encode()
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(b), b)
}

// Symptom: a caller gets the answer to an earlier request, whole and well formed.
// Events: a target's answer comes twice, or with more bytes than it states, or a
// target says on an idle connection that it will close it; the connection
// carries the next call.
// Cause: what comes on a connection is taken for the answer to the last request
// on it.
func TestStrayBytesReachNobody(t *testing.T) {
	const timedOut = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno"
	for name, tt := range map[string]struct {
		answer func(r *http.Request) string
		late   string // comes when the first answer has been taken
	}{
		"twice at once":      {answer: func(r *http.Request) string { return own(r) + own(r) }},
		"more than stated":   {answer: func(r *http.Request) string { return own(r) + "HTTP/1.1 200 OK\r\n" }},
		"unasked, when idle": {answer: own, late: timedOut},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, threeServices())
			c.tune = eager
			conns := make(chan net.Conn, 10)
			h, open := c.addScript("media-1", "media.khaosan", func(c net.Conn, r *http.Request, _ int64) {
				_, _ = io.WriteString(c, tt.answer(r))
				conns <- c
			})
			c.publish()
			q := query{method: "GET", host: "media.khaosan", path: "/m"}
			for n := range 4 {
				to, err := c.ask(h, q, fmt.Sprint("mark-", n))
				if err != nil {
					t.Fatal(err)
				}
				if to.outcome != "completed" {
					t.Fatalf("call %d: %s %s", n, to.outcome, to.code)
				}
				_, _ = io.WriteString(<-conns, tt.late)
				await(t, "the node ends the connection", func() bool { return open.Load() == 0 })
			}
		})
	}
}

// Symptom: a caller gets the first part of a long answer as if it were whole.
// Events: the target dies while it sends an answer in chunks, whose length it
// never stated.
// Cause: a writer of chunks ends the message in order when its source fails.
func TestBrokenChunkedAnswerIsNotEnded(t *testing.T) {
	for name, size := range map[string]int{"small": 100, "large": 300_000} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, threeServices())
			c.tune = eager
			h, _ := c.addScript("media-1", "media.khaosan", func(c net.Conn, _ *http.Request, _ int64) {
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", size, make([]byte, size))
				_ = c.Close()
			})
			c.publish()
			for n := range 5 {
				if _, err := c.ask(h, query{method: "GET", host: "media.khaosan", path: "/m"}, fmt.Sprint(n)); err != nil {
					t.Fatal(err)
				}
			}
		})
	}
}

// Symptom: a target stores half of a photo and says that it has it.
// Events: a phone loses its connection while it uploads in chunks.
// Cause: a writer of chunks ends the message in order when its source fails.
func TestBrokenUploadIsNotEnded(t *testing.T) {
	const whole = 400_000
	c := newCluster(t, threeServices())
	c.tune = eager
	sizes := make(chan int64, 100)
	h, open := c.addScript("media-1", "media.khaosan", func(c net.Conn, r *http.Request, got int64) {
		sizes <- got
		_, _ = io.WriteString(c, own(r))
	})
	c.publish()
	for _, chunked := range []bool{false, true} {
		for _, after := range []int{20_000, 100_000, 399_000} {
			strike := h.links.entry.Arm(faultproxy.Cut{After: after})
			q := query{method: "POST", host: "media.khaosan", path: "/m", body: whole, chunked: chunked}
			if to, err := c.ask(h, q, "cut"); err != nil || to.outcome == "completed" {
				t.Fatal(to.outcome, err)
			}
			<-strike
			await(t, "the cut arrives", func() bool { return h.engine.InFlight() == 0 && open.Load() == 0 || len(sizes) > 0 })
			if len(sizes) > 0 {
				t.Fatalf("chunked %v, cut after %d: the target took %d bytes for the whole", chunked, after, <-sizes)
			}
		}
	}
}
