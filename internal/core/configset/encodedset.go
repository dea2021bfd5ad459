package configset

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"math"
	"slices"

	"github.com/vmihailenco/msgpack/v5"

	"peardrift/internal/core/request"
	"peardrift/internal/status"
)

// EncodedSet is an accepted set with its encoded services. For each service it has
// an upper bound of the version that changed it last, which is enough to
// compute a delta for a peer that holds an older version. It is immutable; the
// sets of successive versions share the unchanged services.
type EncodedSet struct {
	head            Head
	share           float64
	limits          ClientLimits
	services        []*encodedService // sorted by name
	removedServices []removal         // sorted by name

	organisations        []*encodedOrganisation // sorted by name
	removedOrganisations []removal              // sorted by name

	historyStart int64 // changes up to this version are unknown
}

// encodedService is one service of a set in encoded form.
type encodedService struct {
	service Service
	body    []byte
	digest  Digest
	// lastChanged is an upper bound of the version that changed the service
	// last. A node that went from version 3 to 7 at once can't know which of
	// them changed a service; it records 7, and a peer at 5 may get a service
	// that it has already.
	lastChanged int64
	history     []previousBody // previous encodings, newest first
}

type removal struct {
	name    string
	version int64
}

// Pack encodes a set. It returns CodeTooLarge for a set that is too large.
func Pack(s Set) (*EncodedSet, error) {
	s = Canonical(s)
	p := &EncodedSet{head: Head{Tenant: s.Tenant, Version: s.Version}, share: s.Share, limits: s.Limits, historyStart: s.Version}
	size := 0
	for _, svc := range s.Services {
		body, err := marshal(svc)
		if err != nil {
			return nil, err
		}
		size += len(body)
		p.services = append(p.services, &encodedService{service: svc, body: body, digest: sha256.Sum256(body), lastChanged: s.Version})
	}
	var more int
	var err error
	if p.organisations, more, err = packOrganisations(s.Organisations, s.Version); err != nil {
		return nil, err
	}
	if size += more; size > MaxEncoded/2 {
		return nil, status.New(status.CodeTooLarge,
			"the set has %d bytes encoded, at most %d are allowed", size, MaxEncoded/2)
	}
	p.head.Digest = p.computeDigest()
	return p, nil
}

// Unpack decodes a canonical encoding. It returns an error if the result is not
// the set that want identifies.
func Unpack(body []byte, want Head) (*EncodedSet, error) {
	var encoded encodedSet
	if err := unmarshal(body, &encoded); err != nil {
		return nil, err
	}
	return unpack(encoded, want)
}

func unpack(encoded encodedSet, want Head) (*EncodedSet, error) {
	if encoded.Format != formatVersion {
		return nil, status.New(status.CodeProtocol, "unsupported set format %d", encoded.Format)
	}
	if encoded.Tenant != want.Tenant {
		return nil, status.New(status.CodeProtocol, "expected a set of %s, got one of %s", want.Tenant, encoded.Tenant)
	}
	p := &EncodedSet{head: want, share: encoded.Share, limits: decodedLimits(encoded.Limits), historyStart: want.Version}
	for _, raw := range encoded.Services {
		svc, err := newEncodedService(raw, want.Version)
		if err != nil {
			return nil, err
		}
		p.services = append(p.services, svc)
	}
	var err error
	if p.organisations, err = unpackOrganisations(encoded.Organisations, want.Version); err != nil {
		return nil, err
	}
	return p, p.verify()
}

func newEncodedService(raw msgpack.RawMessage, version int64) (*encodedService, error) {
	p := &encodedService{body: slices.Clone(raw), digest: sha256.Sum256(raw), lastChanged: version}
	return p, unmarshal(raw, &p.service)
}

// verify returns an error if the digest differs from the head's, or if nodes can't put
// the whole set in force.
func (p *EncodedSet) verify() error {
	if got := p.computeDigest(); got != p.head.Digest {
		return status.New(status.CodeProtocol, "version %d of %s has digest %v, want %v",
			p.head.Version, p.head.Tenant, got, p.head.Digest)
	}
	if _, ps := Usable(p.Set()); len(ps) > 0 {
		return status.New(status.CodeInvalidSet, "%s: %s (%d problems in all)",
			ps[0].Field, ps[0].Message, len(ps))
	}
	return nil
}

func (p *EncodedSet) computeDigest() Digest {
	h := sha256.New()
	var number [8]byte
	for _, n := range [...]uint64{formatVersion, math.Float64bits(p.share), uint64(len(p.services)), uint64(len(p.head.Tenant))} {
		binary.BigEndian.PutUint64(number[:], n)
		h.Write(number[:])
	}
	h.Write([]byte(p.head.Tenant))
	for _, svc := range p.services {
		h.Write(svc.digest[:])
	}
	hashOrganisations(h, p.organisations)
	p.limits.hashTo(h)
	var d Digest
	h.Sum(d[:0])
	return d
}

// Head returns the head that identifies the set.
func (p *EncodedSet) Head() Head { return p.head }

// Set returns the set as a value; its services must not be modified.
func (p *EncodedSet) Set() Set {
	s := Set{Tenant: p.head.Tenant, Version: p.head.Version, Share: p.share, Limits: p.limits, Services: make([]Service, len(p.services))}
	for i, svc := range p.services {
		s.Services[i] = svc.service
	}
	for _, o := range p.organisations {
		s.Organisations = append(s.Organisations, o.organisation)
	}
	return s
}

// Bytes returns the canonical encoding.
func (p *EncodedSet) Bytes() ([]byte, error) {
	encoded := encodedSet{
		Format: formatVersion, Tenant: p.head.Tenant, Share: p.share, Limits: p.limits.encoded(),
		Services: make([]msgpack.RawMessage, len(p.services)), Organisations: bodiesOf(p.organisations),
	}
	for i, svc := range p.services {
		encoded.Services[i] = svc.body
	}
	return marshal(encoded)
}

// Delta holds the changes from a version that a peer holds to a newer one.
type Delta struct {
	Tenant   request.Tenant       `msgpack:"t"`
	Since    int64                `msgpack:"f"`
	Version  int64                `msgpack:"o"`
	Share    float64              `msgpack:"s"`
	Services []msgpack.RawMessage `msgpack:"v,omitempty"` // new and changed services
	Removed  []string             `msgpack:"r,omitempty"`
	Patches  []Patch              `msgpack:"p,omitempty"` // changed services, as changes to what the peer holds

	Organisations        []msgpack.RawMessage `msgpack:"g,omitempty"` // new and changed organisations
	RemovedOrganisations []string             `msgpack:"x,omitempty"`

	Limits *ClientLimits `msgpack:"l,omitempty"`
}

// DeltaSince returns the changes after a version, as far as they are known here; the
// receiver verifies the result by its digest. ok is false if that version is
// newer than this set or older than the known history.
func (p *EncodedSet) DeltaSince(version int64) (d Delta, ok bool) {
	if version < p.historyStart || version > p.head.Version {
		return Delta{}, false
	}
	d = Delta{Tenant: p.head.Tenant, Since: version, Version: p.head.Version, Share: p.share, Limits: p.limits.encoded()}
	for _, svc := range p.services {
		if svc.lastChanged <= version {
			continue
		}
		if patch, ok := svc.patchFrom(version); ok {
			d.Patches = append(d.Patches, patch)
		} else {
			d.Services = append(d.Services, svc.body)
		}
	}
	for _, r := range p.removedServices {
		if r.version > version {
			d.Removed = append(d.Removed, r.name)
		}
	}
	p.addOrganisationChanges(version, &d)
	return d, true
}

// Encode returns the encoded delta.
func (d Delta) Encode() ([]byte, error) { return marshal(d) }

// DecodeDelta is the inverse of Delta.Encode.
func DecodeDelta(body []byte) (Delta, error) {
	var d Delta
	return d, unmarshal(body, &d)
}

// Apply applies a delta and verifies that the result is the set that want
// identifies.
func (p *EncodedSet) Apply(d Delta, want Head) (*EncodedSet, error) {
	if d.Tenant != p.head.Tenant || want.Tenant != d.Tenant || d.Since != p.head.Version || d.Version != want.Version {
		return nil, status.New(status.CodeProtocol, "delta of %s from version %d to %d does not lead from version %d of %s to version %d of %s",
			d.Tenant, d.Since, d.Version, p.head.Version, p.head.Tenant, want.Version, want.Tenant)
	}
	next := &EncodedSet{head: want, share: d.Share, limits: decodedLimits(d.Limits), historyStart: p.historyStart}
	changed := make(map[string]*encodedService, len(d.Services))
	for _, raw := range d.Services {
		svc, err := newEncodedService(raw, d.Version)
		if err != nil {
			return nil, err
		}
		changed[svc.service.Name] = svc
	}
	for i := range d.Patches {
		svc, err := p.applyPatch(&d.Patches[i], d.Version)
		if err != nil {
			return nil, err
		}
		changed[svc.service.Name] = svc
	}
	organisations, err := unpackOrganisations(d.Organisations, d.Version)
	if err != nil {
		return nil, err
	}
	next.mergeServices(p, changed, nameSet(d.Removed))
	next.mergeOrganisations(p, organisations, nameSet(d.RemovedOrganisations))
	return next, next.verify()
}

// WithHistoryOf returns p with the change history of an older version of the same
// tenant: services that did not change since keep the bounds of that version.
// Without it, a node that read a whole set could not send deltas to it.
func (p *EncodedSet) WithHistoryOf(old *EncodedSet) *EncodedSet {
	next := &EncodedSet{head: p.head, share: p.share, limits: p.limits, historyStart: old.historyStart}
	changed := make(map[string]*encodedService, len(p.services))
	for _, have := range p.services {
		svc := *have
		changed[svc.service.Name] = &svc
	}
	gone := make(map[string]bool)
	for _, have := range old.services {
		if _, ok := changed[have.service.Name]; !ok {
			gone[have.service.Name] = true
		}
	}
	next.mergeServices(old, changed, gone)
	next.mergeOrganisations(old, p.organisations, p.organisationsRemovedSince(old))
	return next
}

// mergeServices builds the services from an older set's and the changed and
// removed ones.
func (p *EncodedSet) mergeServices(old *EncodedSet, changed map[string]*encodedService, gone map[string]bool) {
	p.services = make([]*encodedService, 0, len(old.services)+len(changed))
	for _, have := range old.services {
		name := have.service.Name
		if next, ok := changed[name]; ok {
			if next.digest == have.digest {
				next = have // sent although unchanged: keep the lower bound
			} else {
				next.recordPrevious(have)
			}
			p.services = append(p.services, next)
			delete(changed, name)
		} else if !gone[name] {
			p.services = append(p.services, have)
		}
	}
	for _, next := range changed {
		p.services = append(p.services, next)
	}
	slices.SortFunc(p.services, func(a, b *encodedService) int { return cmp.Compare(a.service.Name, b.service.Name) })
	p.recordRemoved(old, gone)
}

// recordRemoved records which services are removed, at the new version for
// those removed now.
func (p *EncodedSet) recordRemoved(old *EncodedSet, gone map[string]bool) {
	p.removedServices = mergeRemovals(old.removedServices, gone, p.head.Version, p.hasService)
}

func (p *EncodedSet) hasService(name string) bool {
	_, ok := slices.BinarySearchFunc(p.services, name, func(q *encodedService, name string) int {
		return cmp.Compare(q.service.Name, name)
	})
	return ok
}
