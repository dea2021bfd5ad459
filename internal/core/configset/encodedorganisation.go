package configset

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"hash"
	"slices"

	"github.com/vmihailenco/msgpack/v5"
)

// encodedOrganisation is one organisation in encoded form. As with services,
// lastChanged determines what a delta contains, so a key that is added or
// removed is sent as the one organisation that holds it.
type encodedOrganisation struct {
	organisation Organisation
	body         []byte
	digest       Digest
	lastChanged  int64
}

func (p *encodedOrganisation) name() string { return string(p.organisation.Name) }

func packOrganisations(list []Organisation, version int64) ([]*encodedOrganisation, int, error) {
	out := make([]*encodedOrganisation, 0, len(list))
	size := 0
	for _, o := range list {
		body, err := marshal(o)
		if err != nil {
			return nil, 0, err
		}
		size += len(body)
		out = append(out, &encodedOrganisation{organisation: o, body: body, digest: sha256.Sum256(body), lastChanged: version})
	}
	return out, size, nil
}

func unpackOrganisations(raws []msgpack.RawMessage, version int64) ([]*encodedOrganisation, error) {
	out := make([]*encodedOrganisation, 0, len(raws))
	for _, raw := range raws {
		p := &encodedOrganisation{body: slices.Clone(raw), digest: sha256.Sum256(raw), lastChanged: version}
		if err := unmarshal(raw, &p.organisation); err != nil {
			return nil, err
		}
		out = append(out, p)
	}
	return out, nil
}

// hashOrganisations adds the organisations to a set's digest. A set without
// organisations keeps the digest that it had before organisations existed.
func hashOrganisations(h hash.Hash, list []*encodedOrganisation) {
	if len(list) == 0 {
		return
	}
	var number [8]byte
	binary.BigEndian.PutUint64(number[:], uint64(len(list)))
	h.Write(number[:])
	for _, p := range list {
		h.Write(p.digest[:])
	}
}

func bodiesOf(list []*encodedOrganisation) []msgpack.RawMessage {
	out := make([]msgpack.RawMessage, 0, len(list))
	for _, p := range list {
		out = append(out, p.body)
	}
	return out
}

// addOrganisationChanges adds the changes of organisations after a version to a
// delta.
func (p *EncodedSet) addOrganisationChanges(version int64, d *Delta) {
	for _, o := range p.organisations {
		if o.lastChanged > version {
			d.Organisations = append(d.Organisations, o.body)
		}
	}
	for _, r := range p.removedOrganisations {
		if r.version > version {
			d.RemovedOrganisations = append(d.RemovedOrganisations, r.name)
		}
	}
}

// mergeOrganisations builds the organisations from an older set's and the
// changed and removed ones.
func (p *EncodedSet) mergeOrganisations(old *EncodedSet, changed []*encodedOrganisation, gone map[string]bool) {
	next := make(map[string]*encodedOrganisation, len(changed))
	for _, o := range changed {
		next[o.name()] = o
	}
	p.organisations = make([]*encodedOrganisation, 0, len(old.organisations)+len(changed))
	for _, have := range old.organisations {
		o, ok := next[have.name()]
		switch {
		case ok && o.digest != have.digest:
			p.organisations = append(p.organisations, o)
		case ok || !gone[have.name()]:
			p.organisations = append(p.organisations, have)
		}
		delete(next, have.name())
	}
	for _, o := range next {
		p.organisations = append(p.organisations, o)
	}
	slices.SortFunc(p.organisations, func(a, b *encodedOrganisation) int { return cmp.Compare(a.name(), b.name()) })
	p.removedOrganisations = mergeRemovals(old.removedOrganisations, gone, p.head.Version, p.hasOrganisation)
}

func (p *EncodedSet) hasOrganisation(name string) bool {
	_, ok := slices.BinarySearchFunc(p.organisations, name, func(o *encodedOrganisation, name string) int {
		return cmp.Compare(o.name(), name)
	})
	return ok
}

// organisationsRemovedSince returns the names of the older set's organisations
// that p lacks.
func (p *EncodedSet) organisationsRemovedSince(old *EncodedSet) map[string]bool {
	gone := make(map[string]bool)
	for _, have := range old.organisations {
		if !p.hasOrganisation(have.name()) {
			gone[have.name()] = true
		}
	}
	return gone
}

// mergeRemovals returns the earlier removals that are still in effect, and the
// removals at the given version.
func mergeRemovals(before []removal, gone map[string]bool, version int64, has func(string) bool) []removal {
	var out []removal
	for _, r := range before {
		if !gone[r.name] && !has(r.name) {
			out = append(out, r)
		}
	}
	for name := range gone {
		out = append(out, removal{name: name, version: version})
	}
	slices.SortFunc(out, func(a, b removal) int { return cmp.Compare(a.name, b.name) })
	return out
}

func nameSet(names []string) map[string]bool {
	out := make(map[string]bool, len(names))
	for _, n := range names {
		out[n] = true
	}
	return out
}
