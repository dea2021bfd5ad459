package hertzhttp

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/matryer/is"
)

// Guards against cutting a response whose reader pauses because the peer accepts no new
// connection for a probe: it is stopping, or has reached its connection limit.
func TestPausedResponseOutlastsUnreachablePeer(t *testing.T) {
	body := strings.Repeat("x", 512<<10) // more than the client reads ahead
	for name, stopping := range map[string]bool{"reachable": false, "unreachable": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer ln.Close()
			go func() {
				for n := 0; ; n++ {
					c, err := ln.Accept()
					if err != nil {
						return
					}
					defer c.Close()
					if n > 0 { // a probe
						writeString(c, "HTTP/1.1 204 No Content\r\n\r\n")
						continue
					}
					_, _ = http.ReadRequest(bufio.NewReader(c))
					if stopping {
						_ = ln.Close()
					}
					go writeString(c, "HTTP/1.1 200 OK\r\nContent-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body)
					defer func() { _, _ = c.Read(make([]byte, 1)) }() // until the client closes
				}
			}()
			cfg := DefaultClientConfig()
			cfg.Prober = nothingExecuting{}
			cfg.SilenceTimeout = 2 * time.Second // probes are at most 1 s apart until then
			cl := NewClient(cfg)
			defer cl.Close()
			res, err := cl.Do(context.Background(), ln.Addr().String(), newGet("/"), &protocol.Response{})
			is.NoErr(err)
			_, err = io.ReadFull(res.Stream, make([]byte, 1))
			is.NoErr(err)
			time.Sleep(cfg.SilenceTimeout + 3*tickAlignment)
			rest, err := io.ReadAll(res.Stream)
			is.NoErr(err)
			is.Equal(len(rest), len(body)-1)
			is.NoErr(res.Stream.Close())
		})
	}
}
