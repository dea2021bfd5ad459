package lib

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// Request is a request of a client, as bytes.
func Request(method, host, uri, id string, timeoutMS int, body []byte) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nPeardrift-Request-Id: %s\r\nPeardrift-Timeout-Ms: %d\r\n", method, uri, host, id, timeoutMS)
	if body != nil {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n")
	b.Write(body)
	return b.Bytes()
}

// Answer is what a client got.
type Answer struct {
	Status        int
	Signature, ID string
	Body          []byte
	Err           error
}

// Conn is a client's connection to a node.
type Conn struct {
	net.Conn
	r *bufio.Reader
}

// Dial connects to a node's outbound address.
func Dial(addr string) (*Conn, error) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &Conn{c, bufio.NewReader(c)}, nil
}

// Read reads the next answer.
func (c *Conn) ReadAnswer(method string, limit time.Duration) Answer {
	_ = c.SetReadDeadline(time.Now().Add(limit))
	resp, err := http.ReadResponse(c.r, &http.Request{Method: method})
	if err != nil {
		return Answer{Err: err}
	}
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	return Answer{Status: resp.StatusCode, Signature: resp.Header.Get("Peardrift-Response-Signature"), ID: resp.Header.Get("Peardrift-Request-Id"), Body: body, Err: err}
}

// Do sends one request on a new connection.
func Do(n *Node, method, host, uri, id string, timeoutMS int, body []byte) Answer {
	c, err := Dial(n.Outbound)
	if err != nil {
		return Answer{Err: err}
	}
	defer c.Close()
	if _, err := c.Write(Request(method, host, uri, id, timeoutMS, body)); err != nil {
		return Answer{Err: err}
	}
	return c.ReadAnswer(method, time.Duration(timeoutMS)*time.Millisecond+time.Second)
}

// String describes the answer for the record.
func (a Answer) String() string {
	if a.Err != nil && a.Status == 0 {
		return fmt.Sprintf("no answer (%v)", a.Err)
	}
	b := a.Body
	if len(b) > 120 {
		b = b[:120]
	}
	s := fmt.Sprintf("%d, signature %q, %d bytes %q", a.Status, a.Signature, len(a.Body), b)
	if a.Err != nil {
		s += fmt.Sprintf(", breaks off (%v)", a.Err)
	}
	return s
}
