package hertzhttp

import (
	"context"
	"net"
	"net/http"
	"testing"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/matryer/is"
)

func checked(cfg ClientConfig) *Client {
	cfg.Check = func(req *protocol.RequestHeader, resp *protocol.ResponseHeader) Match {
		switch v := string(resp.Peek("X-Name")); {
		case v == "":
			return Foreign
		case v != string(req.Peek("X-Name")):
			return Other
		}
		return Own
	}
	return NewClient(cfg)
}

func named(name string) *protocol.Request {
	req := get("/")
	req.Header.Set("X-Name", name)
	return req
}

// Symptom: from one late answer on, each caller on a connection gets the answer to
// the call before its own. Events: a target answers a call twice, the second time
// when the next call is already sent. Cause: answers counted, not named.
func TestLateAnswersOfEarlierCallsArePassedOver(t *testing.T) {
	is := is.New(t)
	addr := peer(t, func(_ int, c net.Conn, r *http.Request) {
		if r.Header.Get("X-Name") == "b" { // now the second answer to a comes, too
			write(c, "HTTP/1.1 200 OK\r\nX-Name: a\r\nContent-Length: 3\r\n\r\nold")
		}
		write(c, "HTTP/1.1 200 OK\r\nX-Name: "+r.Header.Get("X-Name")+"\r\nContent-Length: 1\r\n\r\n"+r.Header.Get("X-Name"))
	})
	cl := checked(DefaultClientConfig())
	defer cl.Close()
	for _, name := range []string{"a", "b", "c"} {
		var resp protocol.Response
		_, err := cl.Do(context.Background(), addr, named(name), &resp)
		is.NoErr(err)
		is.Equal(string(resp.Body()), name)
	}
}

// Symptom: a caller gets an answer that no target has made, as a success.
func TestForeignAnswersAreFailures(t *testing.T) {
	is := is.New(t)
	addr := peer(t, func(_ int, c net.Conn, _ *http.Request) {
		write(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi")
	})
	cl := checked(DefaultClientConfig())
	defer cl.Close()
	var resp protocol.Response
	res, err := cl.Do(context.Background(), addr, named("a"), &resp)
	is.True(err != nil)
	is.True(res.Sent) // it may have run
}

// Symptom: half an answer is passed on as a whole one, or a whole one as a failure.
// Events: a target states no length, and its connection ends in order or is reset.
func TestUnframedAnswersEndWithTheirConnection(t *testing.T) {
	is := is.New(t)
	addr := peer(t, func(_ int, c net.Conn, r *http.Request) {
		write(c, "HTTP/1.1 200 OK\r\nX-Name: "+r.Header.Get("X-Name")+"\r\nConnection: close\r\n\r\nhalf")
		if r.Header.Get("X-Name") == "reset" {
			_ = c.(*net.TCPConn).SetLinger(0)
		}
		_ = c.Close()
	})
	cfg := DefaultClientConfig()
	cfg.Unframed = true
	cl := checked(cfg)
	defer cl.Close()
	var resp protocol.Response
	_, err := cl.Do(context.Background(), addr, named("whole"), &resp)
	is.NoErr(err)
	is.Equal(string(resp.Body()), "half")
	is.Equal(resp.Header.ContentLength(), len("half"))
	var broken protocol.Response
	res, err := cl.Do(context.Background(), addr, named("reset"), &broken)
	is.True(err != nil)
	is.True(res.Sent)
}
