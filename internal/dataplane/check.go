package dataplane

import (
	"bytes"

	"github.com/cloudwego/hertz/pkg/protocol"

	"peardrift/internal/adapter/hertzhttp"
	"peardrift/internal/wire"
)

// CheckAnswer returns what tells a target's answers apart, in a dialect in which
// targets echo the request's name and sign what they answer. A success without a
// signature was made by nobody, and a coded body is not the one that was signed.
func CheckAnswer(d wire.Dialect) func(*protocol.RequestHeader, *protocol.ResponseHeader) hertzhttp.Match {
	return func(req *protocol.RequestHeader, resp *protocol.ResponseHeader) hertzhttp.Match {
		echo := resp.Peek(d.Request)
		if len(echo) > 0 && !bytes.Equal(echo, req.Peek(d.Request)) {
			return hertzhttp.Other
		}
		success := resp.StatusCode() >= 200 && resp.StatusCode() < 300
		if success && (len(resp.Peek(d.Signature)) == 0 || len(resp.ContentEncoding()) > 0) {
			return hertzhttp.Foreign
		}
		return hertzhttp.Own
	}
}
