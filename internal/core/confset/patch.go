package confset

import (
	"bytes"
	"cmp"
	"slices"

	"peardrift/internal/status"
)

// Patch is a changed service as a change of the one that the peer holds. Most
// changes are of a number or two, so it is a tenth of the service. It is the
// bytes between what both versions begin and end with; whether the result is
// right shows by the set's digest.
type Patch struct {
	// An array: the fields' names would be a quarter of it.
	_msgpack struct{} `msgpack:",as_array"` //lint:ignore U1000 read by the codec

	Name   string
	Begin  int    // bytes kept at the beginning
	End    int    // bytes kept at the end
	Middle []byte // between them

	// Changed is the version in which the service changed last, as far as the
	// sender knows. Without it, each node that skips versions would know less
	// than the one before, and send peers what they have.
	Changed int64

	// Sum begins the digest of the result. A peer that has it already keeps it:
	// the sender may have skipped the version in which the service changed.
	Sum []byte
}

// sumSize is the length of Patch.Sum in bytes.
const sumSize = 4

// pastBody is what a service was from a version on, until the next one.
type pastBody struct {
	body []byte
	from int64
}

// maxPast is how many earlier versions of a service are kept. A peer that is
// further behind gets the service as a whole.
const maxPast = 8

// follow notes what the service was before. The bound from which on it was so
// may be too high, which costs a patch and nothing else.
func (p *part) follow(before *part) {
	p.past = append(p.past[:0:0], pastBody{before.body, before.changed})
	p.past = append(p.past, before.past[:min(len(before.past), maxPast-1)]...)
}

// patchFrom returns the change from what a peer at the given version holds, or,
// of versions that were skipped here, held before or has already. ok is false if
// that isn't known, or no smaller than the service.
func (p *part) patchFrom(version int64) (patch Patch, ok bool) {
	for _, old := range p.past {
		if version < old.from {
			continue
		}
		patch = difference(old.body, p.body)
		patch.Name, patch.Changed, patch.Sum = p.service.Name, p.changed, p.digest[:sumSize]
		const framing = 16
		return patch, len(patch.Middle)+len(patch.Name)+framing < len(p.body)
	}
	return Patch{}, false
}

func difference(old, body []byte) Patch {
	limit := min(len(old), len(body))
	begin := 0
	for begin < limit && old[begin] == body[begin] {
		begin++
	}
	end := 0
	for end < limit-begin && old[len(old)-1-end] == body[len(body)-1-end] {
		end++
	}
	return Patch{Begin: begin, End: end, Middle: body[begin : len(body)-end]}
}

// patched applies a patch to the service that is held here. The version is the
// one that the delta leads to.
func (p *Packed) patched(d *Patch, version int64) (*part, error) {
	i, ok := slices.BinarySearchFunc(p.parts, d.Name, func(q *part, name string) int {
		return cmp.Compare(q.service.Name, name)
	})
	if !ok {
		return nil, status.New(status.CodeProtocol, "a change of service %q, which is not held", d.Name)
	}
	if have := p.parts[i]; len(d.Sum) == sumSize && bytes.Equal(d.Sum, have.digest[:sumSize]) {
		return have, nil
	}
	old := p.parts[i].body
	if d.Begin < 0 || d.End < 0 || d.Begin > len(old) || d.End > len(old)-d.Begin {
		return nil, status.New(status.CodeProtocol, "a change of service %q beyond its %d bytes", d.Name, len(old))
	}
	return newPart(slices.Concat(old[:d.Begin], d.Middle, old[len(old)-d.End:]), max(min(d.Changed, version), p.head.Version+1))
}
