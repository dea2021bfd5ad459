package e2e_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// bodyFramings are the ways in which a request may state its body, none twice.
var bodyFramings = []struct{ name, headers, body string }{
	{"no length", "", ""},
	{"length 0", "Content-Length: 0\r\n", ""},
	{"a length", "Content-Length: 3\r\n", "abc"},
	{"no chunk", "Transfer-Encoding: chunked\r\n", "0\r\n\r\n"},
	{"a chunk", "Transfer-Encoding: chunked\r\n", "3\r\nabc\r\n0\r\n\r\n"},
}

var framingMethods = []string{
	http.MethodGet, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete, http.MethodOptions,
}

// framingCluster returns a cluster whose first host has no target of the called service,
// so that each request passes two nodes.
func framingCluster(t *testing.T, packed bool) *cluster {
	c := newCluster(t, threeServices())
	c.compressHeaders = packed
	c.addHost("archive-1", chainConfig("archive.khaosan", 10), nil)
	c.addHost("media-1", chainConfig("media.khaosan", 10), nil)
	c.publish()
	return c
}

// sendRaw writes a request and fails the test unless its response is a complete success.
func sendRaw(t *testing.T, conn net.Conn, r *bufio.Reader, requests ...string) {
	t.Helper()
	for _, text := range requests {
		if _, err := io.WriteString(conn, text); err != nil {
			t.Fatal(err)
		}
	}
	for i := range requests {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatalf("response %d: %v", i, err)
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("response %d has status %d: %v: %s", i, resp.StatusCode, err, body)
		}
	}
}

// Guards against refusing requests whose body is stated once or not at all: a DELETE
// without Content-Length, which has no body (RFC 9112, 6.3), was answered 400.
func TestBodyFramingIsAccepted(t *testing.T) {
	for _, packed := range []bool{false, true} {
		c := framingCluster(t, packed)
		for _, method := range framingMethods {
			for _, f := range bodyFramings {
				t.Run(fmt.Sprintf("%s/%s/packed=%t", method, f.name, packed), func(t *testing.T) {
					is := is.New(t)
					conn, err := net.Dial("tcp", c.hosts[0].entry.Addr())
					is.NoErr(err)
					defer conn.Close()
					r := bufio.NewReader(conn)
					text := method + " /m HTTP/1.1\r\nHost: media.khaosan\r\n" + f.headers + "\r\n" + f.body
					sendRaw(t, conn, r, text)       // new connection
					sendRaw(t, conn, r, text)       // kept connection
					sendRaw(t, conn, r, text, text) // pipelined
				})
			}
		}
	}
}

// Guards against request smuggling by a body length that is stated twice, with any method.
func TestBodyLengthStatedTwiceIsRefused(t *testing.T) {
	c := framingCluster(t, false)
	for _, method := range framingMethods {
		for name, headers := range map[string]string{
			"two lengths":       "Content-Length: 0\r\nContent-Length: 0\r\n",
			"length and chunks": "Content-Length: 0\r\nTransfer-Encoding: chunked\r\n",
			"another coding":    "Transfer-Encoding: gzip\r\n",
		} {
			t.Run(method+"/"+name, func(t *testing.T) {
				is := is.New(t)
				conn, err := net.Dial("tcp", c.hosts[0].entry.Addr())
				is.NoErr(err)
				defer conn.Close()
				_, err = io.WriteString(conn, method+" /m HTTP/1.1\r\nHost: media.khaosan\r\n"+headers+"\r\n0\r\n\r\n")
				is.NoErr(err)
				resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
				if err == nil {
					is.True(resp.StatusCode >= http.StatusBadRequest)
				}
			})
		}
	}
	is.New(t).Equal(c.totalRuns(), int64(0))
}
