package wire

import (
	"bytes"
	"strings"

	"github.com/cloudwego/hertz/pkg/protocol"
)

// hopByHop are the headers that concern one connection (RFC 9110, 7.6.1) and those
// that the codec uses to frame a body. If passed on, they would describe another
// connection or body length than the receiver's.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Upgrade",
	"Content-Length", "Transfer-Encoding", "Expect",
}

// traceHeaders are the headers of the request's trace; each hop sets its own.
var traceHeaders = []string{HeaderTraceparent, HeaderTracestate, HeaderBaggage}

// CopyRequest copies a request's method, target, host and end-to-end headers to dst.
// It omits internal headers, trace headers and those that concern the connection,
// including the ones named in Connection.
func (d *Dialect) CopyRequest(dst, src *protocol.RequestHeader) {
	dst.SetMethodBytes(src.Method())
	dst.SetRequestURIBytes(src.RequestURI())
	dst.SetHostBytes(src.Host())
	dst.SetNoDefaultContentType(true)
	named := connectionOptions(src.Peek("Connection"))
	pass := d.passThrough()
	src.VisitAll(func(k, v []byte) {
		if isEndToEnd(k, named, pass[:]) && !containsName(k, traceHeaders) {
			addTo(dst, k, v)
		}
	})
}

// CopyAnswer copies an answer's status and end-to-end headers to dst. It omits
// internal headers.
func (d *Dialect) CopyAnswer(dst, src *protocol.ResponseHeader) {
	dst.SetStatusCode(src.StatusCode())
	dst.SetNoDefaultContentType(true)
	named := connectionOptions(src.Peek("Connection"))
	pass := d.passThrough()
	src.VisitAll(func(k, v []byte) {
		if isEndToEnd(k, named, pass[:]) && !containsName(k, codecFields) {
			addTo(dst, k, v)
		}
	})
}

// codecFields are the answer fields that the codec writes itself.
var codecFields = []string{"Date"}

// header has the methods that both header types of the codec share.
type header interface {
	Add(key, value string)
	AddArgBytes(key, value []byte, noValue bool)
	SetCanonical(key, value []byte)
}

// singleFields are the fields that the codec stores separately, at most one of each.
var singleFields = []string{"Content-Type", "Server", "User-Agent"}

// addTo adds a field whose name is already normalized. The codec stores fields whose
// names begin with certain letters separately, which only Add handles in all cases;
// the other methods avoid the string copies that Add needs.
func addTo(dst header, k, v []byte) {
	switch {
	case containsName(k, singleFields):
		dst.SetCanonical(k, v)
	case len(k) > 0 && strings.IndexByte(specialInitials, k[0]|lowerCase) < 0:
		dst.AddArgBytes(k, v, protocol.ArgsHasValue)
	default:
		dst.Add(string(k), string(v))
	}
}

const (
	// specialInitials are the initials of Content-Type, Cookie, Date, Host, Server,
	// Set-Cookie, Trailer, User-Agent and others that the codec stores separately.
	specialInitials = "cdhstu"
	lowerCase       = 0x20
)

func isEndToEnd(k []byte, named, pass []string) bool {
	if bytes.EqualFold(k, []byte("Host")) {
		return false
	}
	return (!isInternal(k) || containsName(k, pass)) && !containsName(k, hopByHop) && !containsName(k, named)
}

func isInternal(k []byte) bool {
	return len(k) >= len(Prefix) && strings.EqualFold(string(k[:len(Prefix)]), Prefix)
}

func containsName(k []byte, names []string) bool {
	for _, n := range names {
		if len(n) == len(k) && strings.EqualFold(string(k), n) {
			return true
		}
	}
	return false
}

// connectionOptions returns the header names that a Connection header lists.
func connectionOptions(v []byte) []string {
	if len(v) == 0 {
		return nil
	}
	var names []string
	for name := range strings.SplitSeq(string(v), ",") {
		names = append(names, strings.TrimSpace(name))
	}
	return names
}
