package dataplane

import (
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/matryer/is"

	"peardrift/internal/wire"
)

// Guards against a stated time that is cut to the class's limit before the queue learns
// from it, so that a return looks like a first send, and against malformed times.
func TestStatedTimeout(t *testing.T) {
	const limit = 2 * time.Second
	for _, c := range []struct {
		header          string
		stated, timeout time.Duration
	}{
		{"", 0, limit},
		{"1500", 1500 * time.Millisecond, 1500 * time.Millisecond},
		{"3000", 3 * time.Second, limit},
		{"0", 0, limit},
		{"-5", 0, limit},
		{"soon", 0, limit},
		{"9223372036854775807", 0, limit},
	} {
		is := is.New(t)
		e := &Engine{cfg: Config{Dialect: wire.Dialect{Timeout: "X-Timeout"}}}
		var r app.RequestContext
		r.Request.Header.Set("X-Timeout", c.header)
		is.Equal(e.statedTimeout(&r), c.stated)
		is.Equal(limitTimeout(c.stated, limit), c.timeout)
	}
}
