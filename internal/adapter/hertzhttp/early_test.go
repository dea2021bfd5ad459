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

// earlyPeer answers each request before it has read its body, reads on later, and
// tells what it got.
func earlyPeer(t *testing.T, pause time.Duration) (addr string, got <-chan []byte) {
	bodies := make(chan []byte, 8)
	addr = accepting(t, func(_ int, c net.Conn) {
		defer c.Close()
		br := bufio.NewReader(c)
		for {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			write(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			time.Sleep(pause)
			b, err := io.ReadAll(r.Body)
			if err != nil {
				b = nil // cut, which is no wrong byte
			}
			bodies <- b
		}
	})
	return addr, bodies
}

// Symptom: a target takes bytes of another request for the rest of an upload.
// Events: it answers before it has read a long body, keeps the connection and reads
// on; its answer is relayed, and the next call is due. Cause: the connection went
// back to the pool with the upload half sent.
func TestRestOfAnUploadFollowsAnEarlyAnswer(t *testing.T) {
	for _, pause := range []time.Duration{0, 100 * time.Millisecond} {
		is := is.New(t)
		addr, got := earlyPeer(t, pause)
		cl := NewClient(DefaultClientConfig())
		body := bytes.Repeat([]byte("0123456789abcdef"), uploadBytes/16)
		post := get("/upload")
		post.Header.SetMethod(http.MethodPost)
		post.SetBodyStream(bytes.NewReader(body), len(body))
		var resp protocol.Response
		_, err := cl.Do(context.Background(), addr, post, &resp)
		is.NoErr(err)
		is.Equal(string(resp.Body()), "ok")
		_, err = cl.Do(context.Background(), addr, get("/next"), &resp)
		is.NoErr(err)
		upload := <-got
		is.True(upload == nil || bytes.Equal(upload, body)) // whole or cut, nothing else
		is.Equal(len(<-got), 0)                             // the next request is one of its own
		cl.Close()
	}
}
