package wire

import (
	"bytes"
	"encoding/base64"
	"encoding/hex"

	"github.com/cloudwego/hertz/pkg/protocol"
	"golang.org/x/net/http2/hpack"

	"peardrift/internal/status"
)

// HeaderPacked carries the packed header fields of a message between nodes. The name
// is short because each message has it.
const HeaderPacked = "P"

// packedHost is the placeholder host of a packed request, since the codec requires
// one.
const packedHost = "n"

// Limits of a packed head (a message's header fields). A few bytes may refer to large
// fields sent before: without the limits a short message could unpack to any amount of
// memory.
const (
	maxPackedFields = 256
	maxPackedBytes  = 64 << 10
	// packTable is the size in bytes of the HPACK dynamic table at each end of a
	// connection. The fields that repeat between two nodes take some 700.
	packTable = 4096
)

// Packer packs the heads that one end of a connection sends and unpacks those that it
// receives: a field sent before on the connection is referenced by one byte (HPACK,
// RFC 7541). Both ends see each head once and in order, which HTTP/1.1 guarantees;
// after a failure the connection must be closed, since the two tables may differ. The
// heads of a call within a chain and its answer, as in the package's test, have 653
// bytes in all; packed they have 300.
//
// Not safe for concurrent use: requests and answers alternate on a connection.
type Packer struct {
	encoder    *hpack.Encoder
	buf        bytes.Buffer
	last       map[string]*lastSent
	decoder    *hpack.Decoder
	fields     []hpack.HeaderField // fields of the head being unpacked
	fieldBytes int                 // size of fields

	// Buffers reused for each head.
	form, block, name, value []byte
	line                     struct{ method, uri []byte }
}

// lastSent is the last value sent of a field.
type lastSent struct {
	value []byte
	form  string // encoded form in which it was sent
}

// NewPacker returns the state of one end of a new connection.
func NewPacker() *Packer {
	p := &Packer{last: make(map[string]*lastSent)}
	p.encoder = hpack.NewEncoder(&p.buf)
	p.decoder = hpack.NewDecoder(packTable, p.addDecoded)
	p.decoder.SetMaxStringLength(maxPackedBytes)
	return p
}

// PackRequest replaces the fields of a request's head by their packed form. The
// method, the request target and the framing of the body stay.
func (p *Packer) PackRequest(h *protocol.RequestHeader) {
	p.buf.Reset()
	h.VisitAll(func(k, v []byte) { p.add(k, v, nil) })
	p.line.method = append(p.line.method[:0], h.Method()...)
	p.line.uri = append(p.line.uri[:0], h.RequestURI()...)
	length, connClose := h.ContentLength(), h.ConnectionClose()
	h.Reset()
	h.SetMethodBytes(p.line.method)
	h.SetRequestURIBytes(p.line.uri)
	if length > 0 || length == chunked {
		h.SetContentLength(length)
	}
	h.SetConnectionClose(connClose)
	h.SetNoDefaultContentType(true)
	h.SetHost(packedHost)
	h.SetArgBytes(packedName, p.packedBlock(), protocol.ArgsHasValue)
}

// UnpackRequest is the inverse of PackRequest. It does not change a head that isn't
// packed, and reports whether it was packed.
func (p *Packer) UnpackRequest(h *protocol.RequestHeader) (bool, error) {
	b := h.Peek(HeaderPacked)
	if len(b) == 0 {
		return false, nil
	}
	if err := p.unpack(b); err != nil {
		return true, err
	}
	h.DelBytes(packedName)
	h.SetNoDefaultContentType(true)
	p.visit(func(k, v []byte) {
		if string(k) == hostField {
			h.SetHostBytes(v)
			return
		}
		addTo(h, k, v)
	})
	return true, nil
}

// PackAnswer packs the head of the answer to req; it may refer to fields of req.
func (p *Packer) PackAnswer(h *protocol.ResponseHeader, req *protocol.RequestHeader) {
	p.buf.Reset()
	h.VisitAll(func(k, v []byte) { p.add(k, v, req) })
	code, length, connClose := h.StatusCode(), h.ContentLength(), h.ConnectionClose()
	h.Reset()
	h.SetNoDefaultContentType(true)
	h.SetNoDefaultDate(true)
	h.SetStatusCode(code)
	h.SetContentLength(length)
	h.SetConnectionClose(connClose)
	h.SetBytesV(HeaderPacked, p.packedBlock())
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
	h.DelBytes(packedName)
	h.SetNoDefaultContentType(true)
	p.visit(func(k, v []byte) {
		if k[0] != sameMark {
			addTo(h, k, v)
		} else if name := expandName(string(k[1:])); len(req.Peek(name)) > 0 {
			addTo(h, []byte(name), req.Peek(name))
		}
	})
	return nil
}

// chunked is the content length that the codec uses for a body of unknown length.
const chunked = -1

const (
	hostField = "Host"
	// sameMark begins the name of an answer's field that equals the request's. Like
	// all marks here it occurs in no HTTP field name.
	sameMark = '='
	// partMark begins the name of a part of a field; the field's short name and the
	// part's position follow in a byte each.
	partMark = '/'
)

var packedName = []byte(HeaderPacked)

// shortNames are field names that nodes send with each call; each is sent as one byte.
// A field whose value never repeats is sent with its name each time. All nodes of a
// deployment must agree on the order; new names are appended.
var shortNames = []string{HeaderCall, HeaderReply, HeaderTraceparent, HeaderAttempt}

// expandName returns the full name of a field sent with a one-byte name.
func expandName(name string) string {
	if len(name) == 1 && name[0] >= 1 && int(name[0]) <= len(shortNames) {
		return shortNames[name[0]-1]
	}
	return name
}

// add packs a field, unless it concerns the connection or the codec writes it.
func (p *Packer) add(k, v []byte, req *protocol.RequestHeader) {
	if containsName(k, hopByHop) || containsName(k, codecFields) {
		return
	}
	for i, n := range shortNames {
		if string(k) != n {
			continue
		}
		if n == HeaderCall || n == HeaderReply {
			p.addParts(byte(1+i), v)
			return
		}
		p.name = append(p.name[:0], byte(1+i))
		p.addField(k, v, req)
		return
	}
	p.name = append(p.name[:0], k...)
	p.addField(k, v, req)
}

// addField packs a field with the name in p.name.
func (p *Packer) addField(k, v []byte, req *protocol.RequestHeader) {
	if req != nil && len(v) > 0 && bytes.Equal(req.Peek(string(k)), v) {
		p.name = append(p.name, 0)
		copy(p.name[1:], p.name)
		p.name[0] = sameMark
		v = nil
	}
	p.write(v)
}

// addParts packs each part of a field separately, because most parts repeat. It omits
// empty parts.
func (p *Packer) addParts(name byte, v []byte) {
	for i := 0; ; i++ {
		field, rest, more := bytes.Cut(v, []byte{separator})
		if len(field) > 0 || !more {
			p.name = append(p.name[:0], partMark, name, byte(firstPart+i))
			p.write(field)
		}
		if !more {
			return
		}
		v = rest
	}
}

// firstPart is the position byte of a field's first part.
const firstPart = 'a'

// write packs the field with the name in p.name. The other end adds it to its table if
// it is the first field of its name, so that the name can be referenced, or if it
// repeats the last value. Otherwise values that never repeat would evict those that
// do.
func (p *Packer) write(value []byte) {
	last := p.last[string(p.name)]
	repeated := last != nil && bytes.Equal(last.value, value)
	f := hpack.HeaderField{Name: string(p.name)}
	if repeated {
		f.Value = last.form
	} else {
		f.Value = p.packHex(value)
		f.Sensitive = !p.remember(f.Name, value, f.Value, last) || last != nil
	}
	_ = p.encoder.WriteField(f) // writes to a bytes.Buffer don't fail
}

// Limits of the last values kept per connection. Without them a caller that uses new
// field names for each request would fill the node's memory through each connection
// that its requests pass.
const (
	maxNames      = 64
	maxRemembered = 256 // bytes of a name and its value
)

// remember keeps the value of a field to compare the next one of its name with, within
// the limits.
func (p *Packer) remember(name string, value []byte, form string, last *lastSent) bool {
	if len(name)+len(value) > maxRemembered || last == nil && len(p.last) >= maxNames {
		return false
	}
	if last == nil {
		last = &lastSent{}
		p.last[name] = last
	}
	last.value, last.form = append(last.value[:0], value...), form
	return true
}

// packedBlock returns the packed fields in a form that is valid in a header. It is
// valid until the next head.
func (p *Packer) packedBlock() []byte {
	p.block = base64.RawStdEncoding.AppendEncode(p.block[:0], p.buf.Bytes())
	return p.block
}

// unpack decodes a block's fields into p.fields.
func (p *Packer) unpack(b []byte) error {
	block, err := base64.RawStdEncoding.AppendDecode(p.block[:0], b)
	p.block = block
	if err != nil {
		return status.Wrap(status.CodeProtocol, err, "invalid packed head")
	}
	p.fields, p.fieldBytes = p.fields[:0], 0
	if _, err := p.decoder.Write(block); err != nil {
		return status.Wrap(status.CodeProtocol, err, "invalid packed head")
	}
	if err := p.decoder.Close(); err != nil {
		return status.Wrap(status.CodeProtocol, err, "invalid packed head")
	}
	if p.fieldBytes > maxPackedBytes || len(p.fields) > maxPackedFields {
		return status.New(status.CodeProtocol, "packed head exceeds %d bytes or %d fields", maxPackedBytes, maxPackedFields)
	}
	return nil
}

// addDecoded collects one decoded field, unless the limits are exceeded.
func (p *Packer) addDecoded(f hpack.HeaderField) {
	p.fieldBytes += len(f.Name) + len(f.Value)
	if f.Name != "" && p.fieldBytes <= maxPackedBytes && len(p.fields) <= maxPackedFields {
		p.fields = append(p.fields, f)
	}
}

// visit calls f with the fields of the head, and joins those sent in parts. f must not
// keep its arguments.
func (p *Packer) visit(f func(name, value []byte)) {
	for i := 0; i < len(p.fields); i++ {
		name := p.fields[i].Name
		if name[0] == partMark && len(name) == len("/nx") {
			n := p.joinParts(i)
			p.name = append(p.name[:0], expandName(name[1:2])...)
			i += n - 1
		} else {
			p.value = appendUnpackedHex(p.value[:0], p.fields[i].Value)
			p.name = append(p.name[:0], expandName(name)...)
		}
		f(p.name, p.value)
	}
}

// joinParts joins in p.value the parts that start at index at of p.fields, and returns
// their number.
func (p *Packer) joinParts(at int) int {
	p.value = p.value[:0]
	next, n := 0, 0
	for _, f := range p.fields[at:] {
		if len(f.Name) != len("/nx") || f.Name[:2] != p.fields[at].Name[:2] {
			break
		}
		for place := int(f.Name[2]) - firstPart; next < place; next++ {
			p.value = append(p.value, separator)
		}
		p.value = appendUnpackedHex(p.value, f.Value)
		n++
	}
	return n
}

const (
	// hexMark begins a value that consists of hexadecimal runs, which are sent as
	// bytes: each run's length in bytes, the bytes, and the separator before the next
	// run.
	hexMark = 1
	// literalMark in place of a length means that the value follows unencoded.
	literalMark = 0
	// minHexLen is the minimum length of a value for which the encoding pays off.
	minHexLen = 16
	maxRun    = 255
)

// packHex returns the form in which a value is sent. Identities are hexadecimal and
// never repeat; as bytes they have half the length.
func (p *Packer) packHex(v []byte) string {
	if len(v) > 0 && v[0] == hexMark {
		return string([]byte{hexMark, literalMark}) + string(v)
	}
	if len(v) < minHexLen {
		return string(v)
	}
	p.form = append(p.form[:0], hexMark)
	for rest := v; ; {
		n := hexRun(rest)
		if n == 0 || n%2 != 0 || n/2 > maxRun {
			return string(v)
		}
		p.form = append(p.form, byte(n/2))
		p.form, _ = hex.AppendDecode(p.form, rest[:n]) // all digits
		if n == len(rest) {
			return string(p.form)
		}
		p.form = append(p.form, rest[n])
		rest = rest[n+1:]
	}
}

// hexRun returns the number of hexadecimal digits that a value begins with.
func hexRun(v []byte) int {
	for i := range len(v) {
		if c := v[i]; (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return i
		}
	}
	return len(v)
}

// appendUnpackedHex appends the inverse of packHex. Input that packHex doesn't produce
// decodes to some value, which its reader has to validate.
func appendUnpackedHex(b []byte, v string) []byte {
	if v == "" || v[0] != hexMark {
		return append(b, v...)
	}
	if len(v) > 1 && v[1] == literalMark {
		return append(b, v[2:]...)
	}
	for rest := v[1:]; rest != ""; {
		n := min(int(rest[0]), len(rest)-1)
		for i := 1; i <= n; i++ {
			b = append(b, hexDigits[rest[i]>>4], hexDigits[rest[i]&0xf])
		}
		rest = rest[1+n:]
		if rest != "" {
			b = append(b, rest[0])
			rest = rest[1:]
		}
	}
	return b
}

const hexDigits = "0123456789abcdef"
