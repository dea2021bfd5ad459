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

// script answers a request to a scripted target. got is the size of the request's
// body, which has been read completely.
type script func(c net.Conn, r *http.Request, got int64)

// addScriptedHost starts a host whose target executes a script, and returns a
// counter of the open connections to the target.
func (c *cluster) addScriptedHost(name, svc string, s script) (*host, *atomic.Int64) {
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
				serveScript(conn, s)
			}()
		}
	}()
	h := &host{name: name, svc: request.Service(svc)}
	c.addNode(h, ln.Addr().String(), nil)
	return h, open
}

func serveScript(c net.Conn, s script) {
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

// answerBytes returns the whole HTTP response to a request.
func answerBytes(r *http.Request) string {
	b := target.Answer{Service: r.Host, Path: r.URL.Path, RequestMark: r.Header.Get("X-Mark"), Size: 50}.Encode()
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(b), b)
}

// Guards against a caller getting a well-formed answer to an earlier request: a
// target sends an answer twice, more bytes than its Content-Length, or a timeout
// response on an idle connection, and the node takes these bytes as the answer to
// the next request on the connection.
func TestStrayBytesAreDiscarded(t *testing.T) {
	const timedOut = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno"
	for name, tt := range map[string]struct {
		answer func(r *http.Request) string
		late   string // sent after the first answer has been read
	}{
		"twice at once":      {answer: func(r *http.Request) string { return answerBytes(r) + answerBytes(r) }},
		"more than stated":   {answer: func(r *http.Request) string { return answerBytes(r) + "HTTP/1.1 200 OK\r\n" }},
		"unasked, when idle": {answer: answerBytes, late: timedOut},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, threeServices())
			c.tuneEngine = retryBrokenPeersAtOnce
			conns := make(chan net.Conn, 10)
			h, open := c.addScriptedHost("media-1", "media.khaosan", func(c net.Conn, r *http.Request, _ int64) {
				_, _ = io.WriteString(c, tt.answer(r))
				conns <- c
			})
			c.publish()
			q := query{method: "GET", host: "media.khaosan", path: "/m"}
			for n := range 4 {
				to, err := c.sendQuery(h, q, fmt.Sprint("mark-", n))
				if err != nil {
					t.Fatal(err)
				}
				if to.outcome != "completed" {
					t.Fatalf("call %d: %s %s", n, to.outcome, to.code)
				}
				_, _ = io.WriteString(<-conns, tt.late)
				await(t, "the node closes the connection", func() bool { return open.Load() == 0 })
			}
		})
	}
}

// Guards against a truncated answer passing as whole: the target dies while sending
// a chunked answer, and the chunked writer terminates the message normally although
// its source failed.
func TestBrokenChunkedAnswerIsNotTerminated(t *testing.T) {
	for name, size := range map[string]int{"small": 100, "large": 300_000} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, threeServices())
			c.tuneEngine = retryBrokenPeersAtOnce
			h, _ := c.addScriptedHost("media-1", "media.khaosan", func(c net.Conn, _ *http.Request, _ int64) {
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", size, make([]byte, size))
				_ = c.Close()
			})
			c.publish()
			for n := range 5 {
				if _, err := c.sendQuery(h, query{method: "GET", host: "media.khaosan", path: "/m"}, fmt.Sprint(n)); err != nil {
					t.Fatal(err)
				}
			}
		})
	}
}

// Guards against a target accepting a truncated upload: the client's connection
// breaks during a chunked upload, and the chunked writer terminates the message
// normally although its source failed.
func TestBrokenUploadIsNotTerminated(t *testing.T) {
	const whole = 400_000
	c := newCluster(t, threeServices())
	c.tuneEngine = retryBrokenPeersAtOnce
	sizes := make(chan int64, 100)
	h, open := c.addScriptedHost("media-1", "media.khaosan", func(c net.Conn, r *http.Request, got int64) {
		sizes <- got
		_, _ = io.WriteString(c, answerBytes(r))
	})
	c.publish()
	for _, chunked := range []bool{false, true} {
		for _, after := range []int{20_000, 100_000, 399_000} {
			cutDone := h.proxies.entry.Arm(faultproxy.Cut{After: after})
			q := query{method: "POST", host: "media.khaosan", path: "/m", body: whole, chunked: chunked}
			if to, err := c.sendQuery(h, q, "cut"); err != nil || to.outcome == "completed" {
				t.Fatal(to.outcome, err)
			}
			<-cutDone
			await(t, "the cut reaches the target", func() bool { return h.engine.InFlight() == 0 && open.Load() == 0 || len(sizes) > 0 })
			if len(sizes) > 0 {
				t.Fatalf("chunked %v, cut after %d: the target accepted %d bytes as the whole body", chunked, after, <-sizes)
			}
		}
	}
}
