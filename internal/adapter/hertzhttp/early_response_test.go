package hertzhttp

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/matryer/is"
)

// uploadBytes is far more than the buffers of both ends of a connection hold.
const uploadBytes = 8 << 20

// startEarlyResponder starts a peer that responds to each request before it reads
// the body, and sends each body it reads to got.
func startEarlyResponder(t *testing.T, pause time.Duration) (addr string, got <-chan []byte) {
	bodies := make(chan []byte, 8)
	addr = acceptEach(t, func(_ int, c net.Conn) {
		defer c.Close()
		br := bufio.NewReader(c)
		for {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			writeString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			time.Sleep(pause)
			b, err := io.ReadAll(r.Body)
			if err != nil {
				b = nil // truncated, which is acceptable
			}
			bodies <- b
		}
	})
	return addr, bodies
}

// If a target responds before it has read a long body and keeps the connection
// open, the connection must not return to the pool with the upload half sent: the
// target would take bytes of the next request for the rest of the upload.
func TestUploadContinuesAfterEarlyResponse(t *testing.T) {
	for _, pause := range []time.Duration{0, 100 * time.Millisecond} {
		is := is.New(t)
		addr, got := startEarlyResponder(t, pause)
		cl := NewClient(DefaultClientConfig())
		body := bytes.Repeat([]byte("0123456789abcdef"), uploadBytes/16)
		post := newGet("/upload")
		post.Header.SetMethod(http.MethodPost)
		post.SetBodyStream(bytes.NewReader(body), len(body))
		var resp protocol.Response
		_, err := cl.Do(context.Background(), addr, post, &resp)
		is.NoErr(err)
		is.Equal(string(resp.Body()), "ok")
		_, err = cl.Do(context.Background(), addr, newGet("/next"), &resp)
		is.NoErr(err)
		upload := <-got
		is.True(upload == nil || bytes.Equal(upload, body)) // complete or truncated, without foreign bytes
		is.Equal(len(<-got), 0)                             // the next request is parsed separately
		cl.Close()
	}
}
