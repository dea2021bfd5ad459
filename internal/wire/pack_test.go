package wire

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/common/test/mock"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/http1/req"
	"github.com/matryer/is"
	"golang.org/x/net/http2/hpack"

	"peardrift/internal/core/request"
	"peardrift/internal/status"
)

// newCallHead returns the head of a call within a chain, as a node sends it.
func newCallHead(i int) *protocol.RequestHeader {
	h := &protocol.RequestHeader{}
	h.SetMethod("GET")
	h.SetRequestURI(fmt.Sprintf("/noka980/%06x", i))
	h.SetNoDefaultContentType(true)
	h.SetHost("wuzi46.example")
	h.Set("User-Agent", "sdk-client/1.9.3")
	h.Set("Accept", "*/*")
	h.Set("Accept-Encoding", "identity")
	h.Set("X-Name", fmt.Sprintf("%016x.%016x.%016x", rand.Uint64(), rand.Uint64(), rand.Uint64()))
	h.Set(HeaderTraceparent, fmt.Sprintf("00-%032x-%016x-00", i+1, rand.Uint64()))
	SetMeta(h, &Meta{
		Tenant: "site", Class: "r-2zy4ukd", Importance: 80, Remaining: time.Duration(1000+i%100) * time.Millisecond, Allowance: 1,
		Depth: 2, Origin: "nofi24d.site", Service: "yeny12a.site", Route: request.Class([]string{"r-2zy4ukd", "r-8jtdf3j"}[i%2]),
	})
	return h
}

// newReplyHead returns the head of the answer to it.
func newReplyHead(i int, req *protocol.RequestHeader) *protocol.ResponseHeader {
	h := &protocol.ResponseHeader{}
	h.SetNoDefaultContentType(true)
	h.SetStatusCode(200)
	h.SetContentType("application/octet-stream")
	h.SetContentLength(600)
	h.Set("X-Name", string(req.Peek("X-Name")))
	h.Set("X-Signature", fmt.Sprintf("e.%d.258.0.%016x", i%50, rand.Uint64()))
	h.Add("Vary", "a")
	h.Add("Vary", "b")
	SetAnswer(h, &Answer{Outcome: request.Completed, Level: request.Level(i % 3 * 70_000), Unspent: 1, InFlight: i % 16, Limit: 15})
	h.Set(HeaderAttempt, string(req.Peek(HeaderTraceparent))[36:52])
	return h
}

func headFields(visit func(func(k, v []byte))) map[string]string {
	m := map[string]string{}
	visit(func(k, v []byte) { m[string(k)] += string(v) + "|" })
	delete(m, "Content-Length")
	return m
}

// Exchanges many messages on one connection.
func TestPackRoundTrip(t *testing.T) {
	is := is.New(t)
	client, server := NewPacker(), NewPacker()
	plain, packed := 0, 0
	for i := range 200 {
		req := newCallHead(i)
		want := headFields(req.VisitAll)
		plain += len(req.Header())
		var sent protocol.RequestHeader
		req.CopyTo(&sent)
		client.PackRequest(&sent)
		packed += len(sent.Header())
		is.Equal(string(sent.RequestURI()), string(req.RequestURI()))
		wasPacked, err := server.UnpackRequest(&sent)
		is.NoErr(err)
		is.True(wasPacked)
		is.Equal(headFields(sent.VisitAll), want)

		resp := newReplyHead(i, req)
		want = headFields(resp.VisitAll)
		plain += len(resp.Header())
		server.PackAnswer(resp, &sent)
		packed += len(resp.Header())
		is.Equal(resp.ContentLength(), 600)
		is.NoErr(client.UnpackAnswer(resp, req))
		is.Equal(headFields(resp.VisitAll), want)
	}
	t.Logf("%d bytes an exchange, %d packed", plain/200, packed/200)
	is.True(packed*2 < plain)
}

func TestPackHex(t *testing.T) {
	is := is.New(t)
	for _, v := range []string{
		"", "a", "0123456789abcdef", "0123456789abcdef.0123456789abcdef", "00-" + strings.Repeat("a1", 16) + "-0123456789abcdef-01",
		"0123456789ABCDEF", "0123456789abcdef.", ".0123456789abcdef", "012345678.9abcdef", "e.21.258.0.878040ea224e7ddd",
		"\x01", "\x01\x00abc", "\x01\x020123456789abcdef", strings.Repeat("ab", 300),
	} {
		is.Equal(string(appendUnpackedHex(nil, NewPacker().packHex([]byte(v)))), v)
	}
	is.Equal(len(NewPacker().packHex([]byte("0123456789abcdef.0123456789abcdef"))), 20)
}

// Guards against different framing of packed and plain requests: a request without a
// body stated no length in one form and 0 in the other. The two had different
// fingerprints, so that a request that crashes its targets took down twice as many as
// allowed.
func TestPackedRequestFramingMatchesPlain(t *testing.T) {
	is := is.New(t)
	parse := func(h *protocol.RequestHeader) *protocol.RequestHeader {
		got := &protocol.RequestHeader{}
		is.NoErr(req.ReadHeader(got, mock.NewZeroCopyReader(string(h.Header()))))
		return got
	}
	for _, method := range []string{"GET", "HEAD", "DELETE", "POST", "PUT"} {
		for _, length := range []int{0, 7, chunked} {
			h := newCallHead(1)
			h.SetMethod(method)
			if length != 0 {
				h.SetContentLength(length)
			}
			plain := parse(h)
			NewPacker().PackRequest(h)
			is.Equal(parse(h).ContentLength(), plain.ContentLength())
		}
	}
}

// Guards against unbounded unpacking: a peer sends a field of four kilobytes, then
// short heads that refer to it hundreds of times, and exhausts the node's memory.
func TestUnpackedSizeIsBounded(t *testing.T) {
	is := is.New(t)
	p := NewPacker()
	big := hpack.HeaderField{Name: "x", Value: strings.Repeat("v", 3000)}
	for range 1000 {
		is.NoErr(p.encoder.WriteField(big))
	}
	var h protocol.RequestHeader
	h.SetBytesKV(packedName, p.packedBlock())
	is.True(len(h.Peek(HeaderPacked)) < 5000)
	wasPacked, err := NewPacker().UnpackRequest(&h)
	is.True(wasPacked)
	is.Equal(status.CodeOf(err), status.CodeProtocol)
}

// Guards against keeping the last value of every field name: a caller that sends new
// names or long values with each request would make a connection's memory grow for its
// lifetime.
func TestRememberedFieldsAreBounded(t *testing.T) {
	is := is.New(t)
	p, peer := NewPacker(), NewPacker()
	for i := range 1000 {
		h := newCallHead(i)
		h.Set(fmt.Sprintf("X-Own-%d", i), strings.Repeat("v", i))
		want := headFields(h.VisitAll)
		p.PackRequest(h)
		_, err := peer.UnpackRequest(h)
		is.NoErr(err)
		is.Equal(headFields(h.VisitAll), want)
	}
	kept := 0
	for k, v := range p.last {
		kept += len(k) + len(v.value)
	}
	is.True(kept <= maxNames*maxRemembered)
}

// FuzzUnpack checks that for any input, unpacking ends in a head or a typed failure.
func FuzzUnpack(f *testing.F) {
	p := NewPacker()
	req := newCallHead(1)
	p.PackRequest(req)
	f.Add(string(req.Peek(HeaderPacked)))
	f.Add("AAAA")
	f.Add("/////w")
	f.Fuzz(func(t *testing.T, block string) {
		p := NewPacker()
		for range 2 { // state left by a head must not break the next one
			var h protocol.RequestHeader
			h.SetMethod("GET")
			h.SetArgBytes(packedName, []byte(block), protocol.ArgsHasValue)
			if _, err := p.UnpackRequest(&h); err != nil && status.CodeOf(err) != status.CodeProtocol {
				t.Fatalf("untyped failure %v", err)
			}
			_ = h.Header()
		}
	})
}

// BenchmarkPackedExchange measures the cost of packing per call: its head and its
// answer's, packed and unpacked once each.
func BenchmarkPackedExchange(b *testing.B) {
	client, server := NewPacker(), NewPacker()
	req, sent, want := newCallHead(1), protocol.RequestHeader{}, newReplyHead(1, newCallHead(1))
	b.ReportAllocs()
	for b.Loop() {
		req.CopyTo(&sent)
		client.PackRequest(&sent)
		if _, err := server.UnpackRequest(&sent); err != nil {
			b.Fatal(err)
		}
		resp := protocol.ResponseHeader{}
		want.CopyTo(&resp)
		server.PackAnswer(&resp, &sent)
		if err := client.UnpackAnswer(&resp, req); err != nil {
			b.Fatal(err)
		}
	}
}
