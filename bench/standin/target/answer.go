package target

import (
	"bytes"
	"encoding/json"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"

	"peardrift/internal/status"
)

// Codes of corrupt answers: an answer to another request, or a truncated one.
const (
	CodeAnswer  status.Code = "wrong-answer"
	CodePartial status.Code = "partial-answer"
)

const fillLetters = "abcdefghijklmnopqrstuvwxyz012345"

// Answer is the body of a completed run. Its encoding is deterministic and Fill
// is derived from the other fields, so that a receiver can rebuild and compare it.
type Answer struct {
	Service     string   `json:"service"`
	Path        string   `json:"path"`
	RequestMark string   `json:"mark"`
	Received    int64    `json:"received"` // bytes of the request's body
	Digest      uint64   `json:"digest"`   // xxhash of the request's body
	Size        int      `json:"size"`
	Calls       []Result `json:"calls"`
	Fill        string   `json:"fill"`
}

// Result is one call that a run made.
type Result struct {
	Service string `json:"service"`
	Path    string `json:"path"`
	// Status is the HTTP status; 0 if no whole answer was received.
	Status int `json:"status"`
	// Answer is the whole answer of a completed call, null otherwise.
	Answer *Answer `json:"answer"`
}

// Encode returns the answer's bytes, with Fill set.
func (a Answer) Encode() []byte {
	a.Fill = fill(a.Service, a.Path, a.RequestMark, a.Size)
	b, err := json.Marshal(a)
	if err != nil {
		panic(err) // plain strings and numbers always marshal
	}
	return b
}

// fill returns n pseudorandom letters seeded by service, path and mark, so that a
// fragment of another request's answer is detected.
func fill(service, path, mark string, n int) string {
	seed := xxhash.Sum64String(service + "\x00" + path + "\x00" + mark)
	src := rand.NewPCG(seed, uint64(n))
	b := make([]byte, n)
	for i := 0; i < n; {
		for w, k := src.Uint64(), 0; k < 12 && i < n; k, i = k+1, i+1 {
			b[i] = fillLetters[w&31]
			w >>= 5
		}
	}
	return string(b)
}

// Verify checks that body is, byte for byte, the whole answer to the request with
// mark, including the answers of all nested calls, and returns it.
func Verify(body []byte, mark string) (Answer, error) {
	var a Answer
	if err := json.Unmarshal(body, &a); err != nil {
		return a, status.Wrap(CodePartial, err, "%d bytes are not a whole answer", len(body))
	}
	if err := a.verify(mark); err != nil {
		return a, err
	}
	if !bytes.Equal(a.Encode(), body) {
		return a, status.New(CodeAnswer, "the bytes differ from those that %s built", a.Service)
	}
	return a, nil
}

func (a Answer) verify(mark string) error {
	if a.RequestMark != mark {
		return status.New(CodeAnswer, "%s answered mark %q, not %q", a.Service, a.RequestMark, mark)
	}
	if a.Fill != fill(a.Service, a.Path, a.RequestMark, a.Size) {
		return status.New(CodeAnswer, "the fill bytes of %s belong to another answer", a.Service)
	}
	for _, r := range a.Calls {
		if r.Answer == nil {
			continue
		}
		if r.Answer.Service != r.Service || r.Answer.Path != r.Path {
			return status.New(CodeAnswer, "%s%s was answered by %s%s", r.Service, r.Path, r.Answer.Service, r.Answer.Path)
		}
		if err := r.Answer.verify(mark); err != nil {
			return err
		}
	}
	return nil
}
