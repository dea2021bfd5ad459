package dataplane

import (
	"bytes"

	"github.com/cloudwego/hertz/pkg/protocol"

	"peardrift/internal/adapter/hertzhttp"
	"peardrift/internal/wire"
)

// CheckAnswer returns a function that matches a target's answers to requests, for
// dialects in which targets echo the request's name and sign their answers. A success
// without a signature comes from no target, and an encoded body is not the one that
// was signed.
func CheckAnswer(d wire.Dialect) func(*protocol.RequestHeader, *protocol.ResponseHeader) hertzhttp.Match {
	return func(req *protocol.RequestHeader, resp *protocol.ResponseHeader) hertzhttp.Match {
		echo := resp.Peek(d.Request)
		if len(echo) > 0 && !bytes.Equal(echo, req.Peek(d.Request)) {
			return hertzhttp.MatchesEarlierRequest
		}
		success := resp.StatusCode() >= 200 && resp.StatusCode() < 300
		if success && (len(resp.Peek(d.Signature)) == 0 || len(resp.ContentEncoding()) > 0) {
			return hertzhttp.MatchesNone
		}
		return hertzhttp.MatchesRequest
	}
}
