package wire

import (
	"strings"
	"testing"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/matryer/is"
)

// Guards against copies that mishandle special fields: a field that may be repeated
// would arrive once, or one that the codec writes itself would arrive twice.
func TestCopyPreservesFields(t *testing.T) {
	is := is.New(t)
	var from, to protocol.ResponseHeader
	fields := [][2]string{
		{"Set-Cookie", "a=1"}, {"Set-Cookie", "b=2"}, {"Cache-Control", "no-store"}, {"Cache-Control", "private"},
		{"Link", "</a>"}, {"Link", "</b>"}, {"Server", "s"}, {"Content-Type", "x/y"}, {"Content-Encoding", "gzip"},
		{"Via", "1.1 x"}, {"Date", "now"}, {HeaderReply, "7"}, {"Connection", "X-Hop"}, {"X-Hop", "1"},
	}
	for _, f := range fields {
		from.Add(f[0], f[1])
	}
	new(Dialect).CopyAnswer(&to, &from)
	is.True(strings.Contains(string(to.Header()), "Set-Cookie: a=1\r\nSet-Cookie: b=2\r\n"))
	is.Equal(to.GetAll("Cache-Control"), []string{"no-store", "private"})
	is.Equal(to.GetAll("Link"), []string{"</a>", "</b>"})
	for name, want := range map[string]string{
		"Server": "s", "Content-Type": "x/y", "Content-Encoding": "gzip", "Via": "1.1 x", HeaderReply: "", "X-Hop": "", "Connection": "",
	} {
		is.Equal(string(to.Peek(name)), want)
	}
	var in, out protocol.RequestHeader
	for _, f := range [][2]string{{"User-Agent", "u"}, {"Cookie", "a=1; b=2"}, {"Accept", "x"}, {"Accept", "y"}, {"Content-Type", "x/y"}, {HeaderCall, "c"}} {
		in.Add(f[0], f[1])
	}
	new(Dialect).CopyRequest(&out, &in)
	is.Equal(out.GetAll("Accept"), []string{"x", "y"})
	for name, want := range map[string]string{"User-Agent": "u", "Cookie": "a=1; b=2", "Content-Type": "x/y", HeaderCall: ""} {
		is.Equal(string(out.Peek(name)), want)
	}
}
