package hertzhttp

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/matryer/is"
)

// Guards against work for a client that has left until the deadline: the client has sent
// its next request before, and these bytes hide its disconnect.
func TestDisconnectBehindNextRequestEndsRequest(t *testing.T) {
	for which, wait := range map[string]time.Duration{"before the watch": 0, "while watched": 3 * watchDelay / 2} {
		t.Run(which, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			started, ended := make(chan struct{}, 1), make(chan error, 1)
			addr := startServer(t, func(ctx context.Context, _ *app.RequestContext) {
				select {
				case started <- struct{}{}:
				default:
					return // the next request
				}
				select {
				case <-ctx.Done():
				case <-time.After(5 * watchDelay):
				}
				ended <- ctx.Err()
			})
			c, err := net.Dial("tcp", addr)
			is.NoErr(err)
			writeString(c, requests["without a body"])
			<-started
			time.Sleep(wait)
			writeString(c, requests["without a body"])
			time.Sleep(wait)
			_ = c.Close()
			is.Equal(<-ended, context.Canceled)
		})
	}
}
