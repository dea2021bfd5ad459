package member

import (
	"encoding/binary"

	"github.com/vmihailenco/msgpack/v5"

	"peardrift/internal/status"
)

// After the loss or the return of a zone, members exchange deaths and returns
// by the thousands, so their size matters. They are encoded as bytes of fixed
// layout, without a type byte for each number.

// Death is a Change to Unreachable in short form. A receiver applies it only to
// a known member that it identifies uniquely.
type Death struct {
	ID          uint32 // upper half of the ID
	Incarnation uint16 // lower half of the incarnation
}

// Recovery is a Change to Alive in short form, of a member whose contents have not
// changed. A receiver applies it only to a known member with these contents
// that it identifies uniquely.
type Recovery struct {
	ID          uint32 // upper half of the ID
	Incarnation uint32
	BodyDigest  uint16 // lower 16 bits of Change.BodyDigest
}

// Deaths and Recoveries are the lists in a Message.
type (
	Deaths     []Death
	Recoveries []Recovery
)

// Encoded sizes in bytes; shortListSize is that of a list's header.
const (
	deathSize     = 6
	backSize      = 10
	shortListSize = 3
)

// EncodeMsgpack implements msgpack.CustomEncoder.
func (l Deaths) EncodeMsgpack(e *msgpack.Encoder) error {
	b := make([]byte, 0, deathSize*len(l))
	for _, d := range l {
		b = binary.BigEndian.AppendUint32(b, d.ID)
		b = binary.BigEndian.AppendUint16(b, d.Incarnation)
	}
	return e.EncodeBytes(b)
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (l *Deaths) DecodeMsgpack(d *msgpack.Decoder) error {
	b, err := readShortItems(d, deathSize)
	for ; len(b) > 0; b = b[deathSize:] {
		*l = append(*l, Death{binary.BigEndian.Uint32(b), binary.BigEndian.Uint16(b[4:])})
	}
	return err
}

// EncodeMsgpack implements msgpack.CustomEncoder.
func (l Recoveries) EncodeMsgpack(e *msgpack.Encoder) error {
	b := make([]byte, 0, backSize*len(l))
	for _, k := range l {
		b = binary.BigEndian.AppendUint32(b, k.ID)
		b = binary.BigEndian.AppendUint32(b, k.Incarnation)
		b = binary.BigEndian.AppendUint16(b, k.BodyDigest)
	}
	return e.EncodeBytes(b)
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (l *Recoveries) DecodeMsgpack(d *msgpack.Decoder) error {
	b, err := readShortItems(d, backSize)
	for ; len(b) > 0; b = b[backSize:] {
		*l = append(*l, Recovery{
			binary.BigEndian.Uint32(b), binary.BigEndian.Uint32(b[4:]), binary.BigEndian.Uint16(b[8:]),
		})
	}
	return err
}

// readShortItems reads the bytes of a list, a multiple of size.
func readShortItems(d *msgpack.Decoder, size int) ([]byte, error) {
	b, err := d.DecodeBytes()
	if err != nil {
		return nil, err
	}
	if len(b)%size != 0 {
		return nil, status.New(status.CodeProtocol, "a list of %d bytes is not a multiple of the item size %d", len(b), size)
	}
	return b, nil
}

// shortBodyMask selects the part of a record's digest that a Recovery carries. The
// rest is taken from the receiver's entry: it is wrong only for a member whose
// contents changed while the receiver missed it, and then in one of 65,536
// cases.
const shortBodyMask = 1<<16 - 1

// addShort adds a member's change to a message in short form if it has one.
func (s *State) addShort(m *Message, it *item, e *entry, room int) (bytes int, done bool) {
	short, ok := s.tab.shortID(e.id)
	switch {
	case !ok:
	case e.status == Unreachable:
		if deathSize+shortListSize > room {
			return -1, true
		}
		m.Deaths = append(m.Deaths, Death{short, uint16(e.inc)})
		return deathSize, true
	case e.status == Alive && it.class == classDeath && !e.needsRecord():
		if backSize+shortListSize > room {
			return -1, true
		}
		m.Recoveries = append(m.Recoveries, Recovery{short, e.inc, uint16(e.bodyDigest() & shortBodyMask)})
		return backSize, true
	}
	return 0, false
}
