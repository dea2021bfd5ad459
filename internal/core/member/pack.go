package member

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/vmihailenco/msgpack/v5"

	"peardrift/internal/core/request"
	"peardrift/internal/status"
)

// Records of one fleet are similar: compressed together they take a quarter of
// the size. A joining member fetches all of them, and after the loss of a zone
// hundreds join at once, at the cost of the members that stayed up.

// packedRecord is a record without the ID, which is derived from its name.
type packedRecord struct {
	Name, Service, Tenant, Zone, Region, Data, Control string
	Incarnation, Slots, Connections                    uint32
}

const (
	// maxUnpacked bounds the decompressed size of a packed part of the state; a
	// few bytes may expand to gigabytes.
	maxUnpacked = 256 << 10
	// packRatio is the assumed compression ratio. If the result is too large, a
	// smaller part is packed.
	packRatio = 4
)

// pack compresses records.
func pack(records []*Record) []byte {
	var buf bytes.Buffer
	w, err := flate.NewWriter(&buf, flate.BestSpeed)
	if err != nil {
		return nil
	}
	enc := msgpack.NewEncoder(w)
	enc.UseArrayEncodedStructs(true)
	enc.UseCompactInts(true)
	for _, r := range records {
		p := packedRecord{
			r.Name, string(r.Service), string(r.Tenant), r.Zone, r.Region, r.DataAddr, r.ControlAddr,
			r.Incarnation, r.Slots, r.Connections,
		}
		if enc.Encode(&p) != nil {
			return nil
		}
	}
	if w.Close() != nil {
		return nil
	}
	return buf.Bytes()
}

// unpack is the inverse of pack. With an error it returns the records decoded
// before it.
func unpack(body []byte) ([]*Record, error) {
	if len(body) == 0 {
		return nil, nil
	}
	r := io.LimitReader(flate.NewReader(bytes.NewReader(body)), maxUnpacked)
	dec := msgpack.NewDecoder(r)
	var out []*Record
	for {
		var p packedRecord
		err := dec.Decode(&p)
		if err == io.EOF {
			return out, nil
		}
		if err != nil {
			return out, status.Wrap(status.CodeProtocol, err, "cannot decode the packed records")
		}
		out = append(out, &Record{
			ID: request.TargetIDOf(p.Name), Name: p.Name, Service: request.Service(p.Service),
			Tenant: request.Tenant(p.Tenant), Zone: p.Zone, Region: p.Region, DataAddr: p.Data, ControlAddr: p.Control,
			Incarnation: p.Incarnation, Slots: p.Slots, Connections: p.Connections,
		})
	}
}

// packPart fills a reply to Pull with the members from the i-th on, and returns
// the index of the first that did not fit.
func (s *State) packPart(m, r *Message, i, room int) int {
	for limit := packRatio * room; limit >= room/packRatio; limit /= 2 {
		next, records, changes := s.selectPart(m, i, min(limit, maxUnpacked/2), room/2)
		body := pack(records)
		if len(body)+changeSize*len(changes) <= room {
			r.Packed, r.Changes = body, append(r.Changes, changes...)
			return next
		}
	}
	return i
}

// selectPart collects members from the i-th on, with records of at most limit
// bytes and changes of at most room bytes.
func (s *State) selectPart(m *Message, i, limit, room int) (next int, records []*Record, changes []Change) {
	for ; i < len(s.tab.members); i++ {
		e := &s.tab.members[i]
		if !m.wantsEntry(e) {
			continue
		}
		limit -= e.rec.size()
		changed := e.status != Alive || e.inc != e.rec.Incarnation
		if changed {
			room -= changeSize
		}
		if limit < 0 || room < 0 {
			break
		}
		records = append(records, e.rec)
		if changed {
			changes = append(changes, e.change())
		}
	}
	return i, records, changes
}
