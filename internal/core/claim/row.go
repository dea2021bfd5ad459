package claim

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"peardrift/internal/core/request"
	"peardrift/internal/msgpackutil"
	"peardrift/internal/status"
)

// State is the state of a key in its row.
type State uint8

const (
	// Absent: no row exists. It is the zero value.
	Absent State = iota
	// Free: the key was claimed and released, and nothing ran. It may be claimed
	// again.
	Free
	// Held: an attempt has the claim; its run may be pending, in progress, ended
	// or lost with its node.
	Held
	// Done: the outcome is recorded. It may be "unknown".
	Done
)

// Row is one claim. Version and Token live in the table's item, the rest in
// its value.
type Row struct {
	Version     int64
	Token       string // of the attempt that wrote it last
	State       State
	Fingerprint Digest        // fingerprint of the request; zero when Free
	Since       time.Duration // when it was claimed
	Until       time.Duration // deadline of the run
	Outcome     Outcome       // set when Done
	Expires     time.Duration // when the platform may remove it; 0: never
}

// Outcome is how a request ended.
type Outcome struct {
	Kind        request.Outcome
	Code        status.Code // failure code; empty for a complete answer
	Status      int         // HTTP status of the target's answer; 0: none
	ContentType string
	Body        string // the answer's bytes, if BodyStored
	Size        int64  // of the complete answer, in bytes
	Sum         Digest // of the complete answer
	BodyStored  bool   // whether Body is the complete answer
}

// maxContentTypeLen is the longest content type stored with a body, in bytes.
const maxContentTypeLen = 255

// Trim removes the body if it exceeds limit bytes or its content type is too
// long; its size and digest stay.
func (o Outcome) Trim(limit int) Outcome {
	if len(o.Body) > limit || len(o.ContentType) > maxContentTypeLen {
		o.Body, o.ContentType, o.BodyStored = "", "", false
	}
	return o
}

// rowFormat is the version of the encoding. A reader rejects any other version,
// so that an older node never treats a newer row as absent.
const rowFormat = 1

// encodedRow is the stored form of a row; short field names keep it small.
type encodedRow struct {
	Format uint8         `msgpack:"f"`
	State  State         `msgpack:"s"`
	Print  []byte        `msgpack:"p,omitempty"`
	Since  time.Duration `msgpack:"b,omitempty"`
	Until  time.Duration `msgpack:"u,omitempty"`
	Kind   uint8         `msgpack:"k,omitempty"`
	Code   status.Code   `msgpack:"c,omitempty"`
	Status int           `msgpack:"h,omitempty"`
	Type   string        `msgpack:"t,omitempty"`
	Body   []byte        `msgpack:"a,omitempty"`
	Size   int64         `msgpack:"n,omitempty"`
	Sum    []byte        `msgpack:"d,omitempty"`
	Kept   bool          `msgpack:"w,omitempty"`
}

// Encode returns the value of the table's item.
func (r Row) Encode() ([]byte, error) {
	o := r.Outcome
	v := encodedRow{
		Format: rowFormat, State: r.State, Since: r.Since, Until: r.Until,
		Kind: uint8(o.Kind), Code: o.Code, Status: o.Status, Type: o.ContentType,
		Body: []byte(o.Body), Size: o.Size, Kept: o.BodyStored,
	}
	if r.State == Held || r.State == Done {
		v.Print = r.Fingerprint[:]
	}
	if r.State == Done {
		v.Sum = o.Sum[:]
	}
	b, err := msgpack.Marshal(&v)
	if err != nil {
		return nil, status.Wrap(status.CodeInternal, err, "encode a claim")
	}
	return b, nil
}

// Decode decodes an item's value. It fails with status.CodeProtocol on a value
// that Encode did not write.
func Decode(version int64, token string, b []byte) (Row, error) {
	var v encodedRow
	if err := msgpackutil.Unmarshal(b, &v); err != nil {
		return Row{}, status.Wrap(status.CodeProtocol, err, "decode a claim")
	}
	if v.Format != rowFormat {
		return Row{}, status.New(status.CodeProtocol, "claim of format %d, want %d", v.Format, rowFormat)
	}
	if v.State < Free || v.State > Done || v.Kind > uint8(request.Failed) {
		return Row{}, status.New(status.CodeProtocol, "claim of state %d and kind %d", v.State, v.Kind)
	}
	r := Row{Version: version, Token: token, State: v.State, Since: v.Since, Until: v.Until}
	copy(r.Fingerprint[:], v.Print)
	r.Outcome = Outcome{
		Kind: request.Outcome(v.Kind), Code: v.Code, Status: v.Status, ContentType: v.Type,
		Body: string(v.Body), Size: v.Size, BodyStored: v.Kept,
	}
	copy(r.Outcome.Sum[:], v.Sum)
	return r, nil
}
