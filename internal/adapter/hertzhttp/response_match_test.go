package hertzhttp

import (
	"context"
	"net"
	"net/http"
	"testing"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/matryer/is"
)

func newCheckingClient(cfg ClientConfig) *Client {
	cfg.MatchResponse = func(req *protocol.RequestHeader, resp *protocol.ResponseHeader) Match {
		switch v := string(resp.Peek("X-Name")); {
		case v == "":
			return MatchesNone
		case v != string(req.Peek("X-Name")):
			return MatchesEarlierRequest
		}
		return MatchesRequest
	}
	return NewClient(cfg)
}

func newNamedRequest(name string) *protocol.Request {
	req := newGet("/")
	req.Header.Set("X-Name", name)
	return req
}

// A target that sends a duplicate response after the next request was sent must
// not shift the responses of all later calls on the connection by one.
func TestLateResponsesToEarlierCallsAreSkipped(t *testing.T) {
	is := is.New(t)
	addr := startPeer(t, func(_ int, c net.Conn, r *http.Request) {
		if r.Header.Get("X-Name") == "b" { // send a duplicate response to a first
			writeString(c, "HTTP/1.1 200 OK\r\nX-Name: a\r\nContent-Length: 3\r\n\r\nold")
		}
		writeString(c, "HTTP/1.1 200 OK\r\nX-Name: "+r.Header.Get("X-Name")+"\r\nContent-Length: 1\r\n\r\n"+r.Header.Get("X-Name"))
	})
	cl := newCheckingClient(DefaultClientConfig())
	defer cl.Close()
	for _, name := range []string{"a", "b", "c"} {
		var resp protocol.Response
		_, err := cl.Do(context.Background(), addr, newNamedRequest(name), &resp)
		is.NoErr(err)
		is.Equal(string(resp.Body()), name)
	}
}

// A response that doesn't come from the target must not be reported as a success.
func TestUnmatchedResponsesAreErrors(t *testing.T) {
	is := is.New(t)
	addr := startPeer(t, func(_ int, c net.Conn, _ *http.Request) {
		writeString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi")
	})
	cl := newCheckingClient(DefaultClientConfig())
	defer cl.Close()
	var resp protocol.Response
	res, err := cl.Do(context.Background(), addr, newNamedRequest("a"), &resp)
	is.True(err != nil)
	is.True(res.Sent) // may have been executed
}

// A response without a length is complete if its connection closes normally, and
// truncated if the connection is reset.
func TestUnframedResponsesEndWithTheirConnection(t *testing.T) {
	is := is.New(t)
	addr := startPeer(t, func(_ int, c net.Conn, r *http.Request) {
		writeString(c, "HTTP/1.1 200 OK\r\nX-Name: "+r.Header.Get("X-Name")+"\r\nConnection: close\r\n\r\nhalf")
		if r.Header.Get("X-Name") == "reset" {
			_ = c.(*net.TCPConn).SetLinger(0)
		}
		_ = c.Close()
	})
	cfg := DefaultClientConfig()
	cfg.AllowUnframed = true
	cl := newCheckingClient(cfg)
	defer cl.Close()
	var resp protocol.Response
	_, err := cl.Do(context.Background(), addr, newNamedRequest("whole"), &resp)
	is.NoErr(err)
	is.Equal(string(resp.Body()), "half")
	is.Equal(resp.Header.ContentLength(), len("half"))
	var broken protocol.Response
	res, err := cl.Do(context.Background(), addr, newNamedRequest("reset"), &broken)
	is.True(err != nil)
	is.True(res.Sent)
}
