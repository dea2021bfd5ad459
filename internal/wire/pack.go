package wire

import (
	"bytes"
	"encoding/base64"
	"encoding/hex"

	"github.com/cloudwego/hertz/pkg/protocol"
	"golang.org/x/net/http2/hpack"

	"peardrift/internal/status"
)

// HeaderPacked carries the fields of a head between nodes, packed. Its name is
// short because it is sent with each message.
const HeaderPacked = "P"

// packedHost stands in for the host in a packed request, which the codec wants
// there.
const packedHost = "n"

// Limits of a packed head. A few bytes may name large fields that were sent before:
// without them a short message would unpack into any amount of memory.
const (
	maxPackedFields = 256
	maxPackedBytes  = 64 << 10
	// packTable bounds what each end of a connection remembers of the other's
	// fields, in bytes. The fields that repeat between two nodes take some 700.
	packTable = 4096
)

// Packer packs the heads that one end of a connection sends, and unpacks those that
// it gets: fields sent before on the connection are named in a byte (HPACK, RFC
// 7541). Both ends see each head once and in order, which HTTP/1.1 warrants; after a
// failure the connection must be closed, since the two would no longer agree on what
// was sent before. A call within a chain and its answer, as in the package's test, have
// 653 bytes of heads; packed they have 300.
//
// Not safe for concurrent use: requests and answers alternate on a connection.
type Packer struct {
	out  *hpack.Encoder
	buf  bytes.Buffer
	last map[string]string // value of each field sent
	in   *hpack.Decoder
	got  []hpack.HeaderField // of the head that is being unpacked
	size int                 // of got, in bytes
}

// NewPacker returns the state of one end of a new connection.
func NewPacker() *Packer {
	p := &Packer{last: make(map[string]string)}
	p.out = hpack.NewEncoder(&p.buf)
	p.in = hpack.NewDecoder(packTable, p.field)
	p.in.SetMaxStringLength(maxPackedBytes)
	return p
}

// PackRequest replaces the fields of a request's head by their packed form. The
// method, the target and what frames the body stay.
func (p *Packer) PackRequest(h *protocol.RequestHeader) {
	p.buf.Reset()
	h.VisitAll(func(k, v []byte) { p.add(k, v, nil) })
	var keep protocol.RequestHeader
	keep.SetMethodBytes(h.Method())
	keep.SetRequestURIBytes(h.RequestURI())
	if n := h.ContentLength(); n > 0 || n == chunked {
		keep.SetContentLength(n)
	}
	keep.SetConnectionClose(h.ConnectionClose())
	keep.SetNoDefaultContentType(true)
	keep.SetHost(packedHost)
	keep.SetArgBytes(packed, p.block(), protocol.ArgsHasValue)
	keep.CopyTo(h)
}

// UnpackRequest is the inverse of PackRequest. It leaves a head that isn't packed
// as it is, and reports whether it was.
func (p *Packer) UnpackRequest(h *protocol.RequestHeader) (bool, error) {
	b := h.Peek(HeaderPacked)
	if len(b) == 0 {
		return false, nil
	}
	if err := p.unpack(b); err != nil {
		return true, err
	}
	h.DelBytes(packed)
	h.SetNoDefaultContentType(true)
	p.each(func(k string, v string) {
		if k == hostField {
			h.SetHost(v)
			return
		}
		addTo(h, []byte(k), []byte(v))
	})
	return true, nil
}

// PackAnswer is PackRequest for the answer to a request, to whose fields it may
// refer.
func (p *Packer) PackAnswer(h *protocol.ResponseHeader, req *protocol.RequestHeader) {
	p.buf.Reset()
	h.VisitAll(func(k, v []byte) { p.add(k, v, req) })
	code, length, closes := h.StatusCode(), h.ContentLength(), h.ConnectionClose()
	h.Reset()
	h.SetNoDefaultContentType(true)
	h.SetNoDefaultDate(true)
	h.SetStatusCode(code)
	h.SetContentLength(length)
	h.SetConnectionClose(closes)
	h.SetBytesV(HeaderPacked, p.block())
}

// UnpackAnswer is the inverse of PackAnswer.
func (p *Packer) UnpackAnswer(h *protocol.ResponseHeader, req *protocol.RequestHeader) error {
	b := h.Peek(HeaderPacked)
	if len(b) == 0 {
		return nil
	}
	if err := p.unpack(b); err != nil {
		return err
	}
	h.DelBytes(packed)
	h.SetNoDefaultContentType(true)
	p.each(func(k, v string) {
		if k[0] != same {
			addTo(h, []byte(k), []byte(v))
		} else if name := long(k[1:]); len(req.Peek(name)) > 0 {
			addTo(h, []byte(name), req.Peek(name))
		}
	})
	return nil
}

// chunked is the codec's length of a body whose length isn't known.
const chunked = -1

const (
	hostField = "Host"
	// same begins the name of an answer's field that is as in the request. Like
	// all marks here it occurs in no name of HTTP.
	same = '='
	// part begins the name of a part of a field; the name and the part's place
	// follow in a byte each.
	part = '/'
)

var packed = []byte(HeaderPacked)

// known are the names that nodes send with each call, shortened to a byte: a field
// whose value never repeats is sent with its name. Nodes of a fleet must agree on
// their order; new ones go to the end.
var known = []string{HeaderCall, HeaderReply, HeaderTraceparent, HeaderAttempt}

// short returns the name under which a field is sent, and long the inverse.
func short(name string) string {
	for i, n := range known {
		if n == name {
			return string(rune(1 + i))
		}
	}
	return name
}

func long(name string) string {
	if len(name) == 1 && name[0] >= 1 && int(name[0]) <= len(known) {
		return known[name[0]-1]
	}
	return name
}

// add packs a field, unless it concerns the connection or is the codec's.
func (p *Packer) add(k, v []byte, req *protocol.RequestHeader) {
	name := short(string(k))
	switch {
	case listed(k, hopByHop) || listed(k, dated):
	case name == short(HeaderCall), name == short(HeaderReply):
		p.addParts(name, v)
	case req != nil && len(v) > 0 && bytes.Equal(req.Peek(string(k)), v):
		p.write(string(same)+name, "")
	default:
		p.write(name, string(v))
	}
}

// addParts packs a field that consists of parts, of which most repeat, each by
// itself. Empty ones are left out.
func (p *Packer) addParts(name string, v []byte) {
	for i := 0; ; i++ {
		field, rest, more := bytes.Cut(v, []byte{separator})
		if len(field) > 0 || !more {
			p.write(string([]byte{part, name[0], byte(firstPart + i)}), string(field))
		}
		if !more {
			return
		}
		v = rest
	}
}

// firstPart is the byte for a field's first part.
const firstPart = 'a'

// write packs one field. The other end is to remember it when it is the first of
// its name, for the name, and when it has the value of the last one. Otherwise the
// values that never repeat would push out those that do.
func (p *Packer) write(name, value string) {
	last, sent := p.last[name]
	remembered := p.remember(name, value, sent)
	_ = p.out.WriteField(hpack.HeaderField{ // to a buffer, which doesn't fail
		Name: name, Value: halved(value),
		Sensitive: !remembered || sent && last != value,
	})
}

// Bounds on what a connection remembers of its callers' fields. Without them a caller
// that names its fields anew each time would fill the node's memory, through each
// connection that its requests pass.
const (
	maxNames      = 64
	maxRemembered = 256 // bytes of a value
)

// remember keeps the value of a field for the next of its name, where it may.
func (p *Packer) remember(name, value string, known bool) bool {
	if len(name)+len(value) > maxRemembered || !known && len(p.last) >= maxNames {
		return false
	}
	p.last[name] = value
	return true
}

// block returns what was packed, in a form that a head may carry.
func (p *Packer) block() []byte {
	return base64.RawStdEncoding.AppendEncode(nil, p.buf.Bytes())
}

// unpack reads a block's fields into got.
func (p *Packer) unpack(b []byte) error {
	block, err := base64.RawStdEncoding.AppendDecode(nil, b)
	if err != nil {
		return status.Wrap(status.CodeProtocol, err, "a packed head")
	}
	p.got, p.size = p.got[:0], 0
	if _, err := p.in.Write(block); err != nil {
		return status.Wrap(status.CodeProtocol, err, "a packed head")
	}
	if err := p.in.Close(); err != nil {
		return status.Wrap(status.CodeProtocol, err, "a packed head")
	}
	if p.size > maxPackedBytes || len(p.got) > maxPackedFields {
		return status.New(status.CodeProtocol, "a packed head has more than %d bytes or %d fields", maxPackedBytes, maxPackedFields)
	}
	return nil
}

// field takes in one field, until there are too many.
func (p *Packer) field(f hpack.HeaderField) {
	p.size += len(f.Name) + len(f.Value)
	if f.Name != "" && p.size <= maxPackedBytes && len(p.got) <= maxPackedFields {
		p.got = append(p.got, f)
	}
}

// each calls f with the fields of the head, those in parts put together.
func (p *Packer) each(f func(name, value string)) {
	for i := 0; i < len(p.got); i++ {
		name := p.got[i].Name
		if name[0] != part || len(name) != len("/nx") {
			f(long(name), whole(p.got[i].Value))
			continue
		}
		value, n := p.join(i)
		f(long(name[1:2]), value)
		i += n - 1
	}
}

// join puts the parts that begin at a place of got together, and returns how many
// there are.
func (p *Packer) join(at int) (string, int) {
	var b []byte
	next, n := 0, 0
	for _, f := range p.got[at:] {
		if len(f.Name) != len("/nx") || f.Name[:2] != p.got[at].Name[:2] {
			break
		}
		for place := int(f.Name[2]) - firstPart; next < place; next++ {
			b = append(b, separator)
		}
		b = append(b, whole(f.Value)...)
		n++
	}
	return string(b), n
}

const (
	// hexMark begins a value that consists of hexadecimal runs, which are sent as
	// bytes: their number, the bytes, and what stands before the next run.
	hexMark = 1
	// asIs in place of a number says that the value itself follows.
	asIs = 0
	// leastHex is the length from which it is worth it.
	leastHex = 16
	maxRun   = 255
)

// halved returns the form in which a value is sent. Identities are hexadecimal and
// never repeat; as bytes they have half their length.
func halved(v string) string {
	if v != "" && v[0] == hexMark {
		return string([]byte{hexMark, asIs}) + v
	}
	if len(v) < leastHex {
		return v
	}
	out := append(make([]byte, 0, len(v)), hexMark)
	for rest := v; ; {
		n := hexRun(rest)
		if n == 0 || n%2 != 0 || n/2 > maxRun {
			return v
		}
		out = append(out, byte(n/2))
		out, _ = hex.AppendDecode(out, []byte(rest[:n])) // all digits
		if n == len(rest) {
			return string(out)
		}
		out = append(out, rest[n])
		rest = rest[n+1:]
	}
}

// hexRun returns how many hexadecimal digits a value begins with.
func hexRun(v string) int {
	for i := range len(v) {
		if c := v[i]; (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return i
		}
	}
	return len(v)
}

// whole is the inverse of halved. What halved doesn't make reads as something, for
// its reader to judge.
func whole(v string) string {
	if v == "" || v[0] != hexMark {
		return v
	}
	if len(v) > 1 && v[1] == asIs {
		return v[2:]
	}
	var out []byte
	for rest := v[1:]; rest != ""; {
		n := min(int(rest[0]), len(rest)-1)
		out = hex.AppendEncode(out, []byte(rest[1:1+n]))
		rest = rest[1+n:]
		if rest != "" {
			out = append(out, rest[0])
			rest = rest[1:]
		}
	}
	return string(out)
}
