package hertzhttp

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/matryer/is"
)

// Guards against failing a call in the middle of its response: bytes keep arriving, but
// the codec waits for the rest of a body or chunk, and the peer no longer lists the call.
func TestSlowlyArrivingResponseIsNotSilent(t *testing.T) {
	const pause, pieces = 50 * time.Millisecond, 40 // in all longer than SilentMax and Grace
	body := strings.Repeat("x", 4000)
	for name, response := range map[string]string{
		"with a length": "HTTP/1.1 200 OK\r\nContent-Length: 4000\r\n\r\n" + body,
		"chunked":       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nfa0\r\n" + body + "\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			addr := startPeer(t, func(n int, c net.Conn, _ *http.Request) {
				if n > 0 { // a probe
					writeString(c, "HTTP/1.1 204 No Content\r\n\r\n")
					return
				}
				size := len(response)/pieces + 1
				for rest := response; len(rest) > 0; rest = rest[min(size, len(rest)):] {
					writeString(c, rest[:min(size, len(rest))])
					time.Sleep(pause)
				}
			})
			cfg := DefaultClientConfig()
			cfg.Prober = nothingExecuting{}
			cl := NewClient(cfg)
			defer cl.Close()
			var resp protocol.Response
			res, err := cl.Do(context.Background(), addr, newGet("/"), &resp)
			is.NoErr(err)
			got := resp.Body()
			if res.Stream != nil {
				got = make([]byte, len(body)) // the server's codec reads 4 KiB at once
				_, err = io.ReadFull(res.Stream, got)
				is.NoErr(err)
				_, err = res.Stream.Read(make([]byte, 1))
				is.Equal(err, io.EOF)
				is.NoErr(res.Stream.Close())
			}
			is.Equal(string(got), body)
		})
	}
}
