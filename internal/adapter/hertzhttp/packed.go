package hertzhttp

import (
	"context"
	"net/http"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/network"

	"peardrift/internal/wire"
)

// packerKey is the context key of a connection's header packer.
type packerKey struct{}

// withPacker attaches a header packer to a new connection.
func withPacker(ctx context.Context, _ network.Conn) context.Context {
	return context.WithValue(ctx, packerKey{}, wire.NewPacker())
}

// unpackRequest decompresses the headers of a request and reports whether they
// were compressed.
func unpackRequest(ctx context.Context, c *app.RequestContext) (bool, error) {
	p, ok := ctx.Value(packerKey{}).(*wire.Packer)
	if !ok {
		return false, nil
	}
	return p.UnpackRequest(&c.Request.Header)
}

// rejectPacked responds to a request whose headers can't be decompressed, and
// closes the connection. The compression state of the two ends differs; a peer
// that continued would take one request's headers for another's.
func rejectPacked(c *app.RequestContext, err error) {
	c.Response.Reset()
	c.SetStatusCode(http.StatusBadRequest)
	c.Response.SetBodyString(err.Error())
	c.SetConnectionClose()
}

// packResponse compresses the headers of the response to a compressed request.
func packResponse(ctx context.Context, c *app.RequestContext) {
	ctx.Value(packerKey{}).(*wire.Packer).PackAnswer(&c.Response.Header, &c.Request.Header)
}
