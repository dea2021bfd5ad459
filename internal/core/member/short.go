package member

import (
	"encoding/binary"

	"github.com/vmihailenco/msgpack/v5"

	"peardrift/internal/status"
)

// What members tell each other after the loss or the return of a zone is deaths
// and returns in thousands, so it matters that they are small. They travel as
// bytes in a fixed form, without a mark of type for each number.

// Death is a Change to Unreachable in short form. A receiver takes it only for a
// member that it knows and that fits uniquely.
type Death struct {
	ID          uint32 // upper half of the identity
	Incarnation uint16 // lower half of the incarnation
}

// Back is a Change to Alive in short form, of a member whose contents haven't
// changed. A receiver takes it only for a member that it knows with these
// contents and that fits uniquely.
type Back struct {
	ID          uint32 // upper half of the identity
	Incarnation uint32
	Body        uint16 // lower part of Change.Body
}

// Deaths and Backs are lists of them in a Message.
type (
	Deaths []Death
	Backs  []Back
)

// Encoded sizes in bytes, and that of a list's head.
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
	b, err := shortItems(d, deathSize)
	for ; len(b) > 0; b = b[deathSize:] {
		*l = append(*l, Death{binary.BigEndian.Uint32(b), binary.BigEndian.Uint16(b[4:])})
	}
	return err
}

// EncodeMsgpack implements msgpack.CustomEncoder.
func (l Backs) EncodeMsgpack(e *msgpack.Encoder) error {
	b := make([]byte, 0, backSize*len(l))
	for _, k := range l {
		b = binary.BigEndian.AppendUint32(b, k.ID)
		b = binary.BigEndian.AppendUint32(b, k.Incarnation)
		b = binary.BigEndian.AppendUint16(b, k.Body)
	}
	return e.EncodeBytes(b)
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (l *Backs) DecodeMsgpack(d *msgpack.Decoder) error {
	b, err := shortItems(d, backSize)
	for ; len(b) > 0; b = b[backSize:] {
		*l = append(*l, Back{
			binary.BigEndian.Uint32(b), binary.BigEndian.Uint32(b[4:]), binary.BigEndian.Uint16(b[8:]),
		})
	}
	return err
}

// shortItems reads a list's bytes, which are so many items of a size.
func shortItems(d *msgpack.Decoder, size int) ([]byte, error) {
	b, err := d.DecodeBytes()
	if err != nil {
		return nil, err
	}
	if len(b)%size != 0 {
		return nil, status.New(status.CodeProtocol, "%d bytes of items of %d", len(b), size)
	}
	return b, nil
}

// bodyLow is the part of a body's digest that a Back carries. The rest is what the
// receiver holds: it is wrong only for a member whose contents changed while the
// receiver missed it, and then in one of 65,536 cases.
const bodyLow = 1<<16 - 1

// putShort adds a member's change to a message in short form if it has one.
func (s *State) putShort(m *Message, it *item, e *entry, room int) (bytes int, done bool) {
	short, ok := s.tab.shortID(e.id)
	switch {
	case !ok:
	case e.status == Unreachable:
		if deathSize+shortListSize > room {
			return -1, true
		}
		m.Deaths = append(m.Deaths, Death{short, uint16(e.inc)})
		return deathSize, true
	case e.status == Alive && it.class == classDeath && !e.lacks():
		if backSize+shortListSize > room {
			return -1, true
		}
		m.Backs = append(m.Backs, Back{short, e.inc, uint16(e.bodySum() & bodyLow)})
		return backSize, true
	}
	return 0, false
}
