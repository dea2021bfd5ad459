package hertzhttp

import (
	"context"
	"net/http"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/network"

	"peardrift/internal/wire"
)

// packerKey is the key of a connection's packer in the contexts of its requests.
type packerKey struct{}

// withPacker gives a new connection its packer.
func withPacker(ctx context.Context, _ network.Conn) context.Context {
	return context.WithValue(ctx, packerKey{}, wire.NewPacker())
}

// unpackRequest restores the head of a request, and reports whether it was packed.
func unpackRequest(ctx context.Context, c *app.RequestContext) (bool, error) {
	p, ok := ctx.Value(packerKey{}).(*wire.Packer)
	if !ok {
		return false, nil
	}
	return p.UnpackRequest(&c.Request.Header)
}

// refusePacked answers a request whose head can't be read. What the other end
// remembers of the connection is not what this one does, so it must end; a peer that
// reads on would take one request's fields for another's.
func refusePacked(c *app.RequestContext, err error) {
	c.Response.Reset()
	c.SetStatusCode(http.StatusBadRequest)
	c.Response.SetBodyString(err.Error())
	c.SetConnectionClose()
}

// packAnswer packs the head of the answer to a request that came packed.
func packAnswer(ctx context.Context, c *app.RequestContext) {
	ctx.Value(packerKey{}).(*wire.Packer).PackAnswer(&c.Response.Header, &c.Request.Header)
}
