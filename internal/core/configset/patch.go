package configset

import (
	"bytes"
	"cmp"
	"slices"

	"peardrift/internal/status"
)

// Patch encodes a changed service as a change of the one that the peer holds.
// Most changes affect a number or two, so it is a tenth of the service's size.
// It replaces the bytes between the common prefix and suffix of both encodings;
// the set's digest verifies the result.
type Patch struct {
	// Array encoding: the field names would be a quarter of the size.
	_msgpack struct{} `msgpack:",as_array"` //lint:ignore U1000 read by the codec

	Name      string
	PrefixLen int    // length in bytes of the common prefix
	SuffixLen int    // length in bytes of the common suffix
	Middle    []byte // new bytes between them

	// Changed is the version that changed the service last, as far as the
	// sender knows. Without it, each node that skips versions would know less
	// than the previous one, and send peers what they have already.
	Changed int64

	// Sum is the beginning of the result's digest. A peer that already has the
	// result keeps it: the sender may have skipped the version that changed the
	// service.
	Sum []byte
}

// patchSumSize is the length of Patch.Sum in bytes.
const patchSumSize = 4

// previousBody is the encoding of a service from one version until its next
// change.
type previousBody struct {
	body  []byte
	since int64
}

// maxHistory is how many previous encodings of a service are kept. A peer that
// is further behind gets the whole service.
const maxHistory = 8

// recordPrevious records the service's previous encodings. Their version bounds
// may be too high, which only costs a patch.
func (p *encodedService) recordPrevious(before *encodedService) {
	p.history = append(p.history[:0:0], previousBody{before.body, before.lastChanged})
	p.history = append(p.history, before.history[:min(len(before.history), maxHistory-1)]...)
}

// patchFrom returns the change from the service that a peer at the given
// version holds. If versions were skipped here, the peer may have held that
// service earlier, or have the new one already. ok is false if that service is
// unknown or the patch is no smaller than the whole service.
func (p *encodedService) patchFrom(version int64) (patch Patch, ok bool) {
	for _, old := range p.history {
		if version < old.since {
			continue
		}
		patch = diffBodies(old.body, p.body)
		patch.Name, patch.Changed, patch.Sum = p.service.Name, p.lastChanged, p.digest[:patchSumSize]
		const framing = 16
		return patch, len(patch.Middle)+len(patch.Name)+framing < len(p.body)
	}
	return Patch{}, false
}

func diffBodies(old, body []byte) Patch {
	limit := min(len(old), len(body))
	begin := 0
	for begin < limit && old[begin] == body[begin] {
		begin++
	}
	end := 0
	for end < limit-begin && old[len(old)-1-end] == body[len(body)-1-end] {
		end++
	}
	return Patch{PrefixLen: begin, SuffixLen: end, Middle: body[begin : len(body)-end]}
}

// applyPatch applies a patch to the service in p. The version is the one that
// the delta leads to.
func (p *EncodedSet) applyPatch(d *Patch, version int64) (*encodedService, error) {
	i, ok := slices.BinarySearchFunc(p.services, d.Name, func(q *encodedService, name string) int {
		return cmp.Compare(q.service.Name, name)
	})
	if !ok {
		return nil, status.New(status.CodeProtocol, "patch for unknown service %q", d.Name)
	}
	if have := p.services[i]; len(d.Sum) == patchSumSize && bytes.Equal(d.Sum, have.digest[:patchSumSize]) {
		return have, nil
	}
	old := p.services[i].body
	if d.PrefixLen < 0 || d.SuffixLen < 0 || d.PrefixLen > len(old) || d.SuffixLen > len(old)-d.PrefixLen {
		return nil, status.New(status.CodeProtocol, "patch for service %q exceeds its %d bytes", d.Name, len(old))
	}
	return newEncodedService(slices.Concat(old[:d.PrefixLen], d.Middle, old[len(old)-d.SuffixLen:]), max(min(d.Changed, version), p.head.Version+1))
}
