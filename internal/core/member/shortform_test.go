package member

import (
	"bytes"
	"cmp"
	"compress/flate"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/vmihailenco/msgpack/v5"
)

// newStatePair returns two states that know the same n other members.
func newStatePair(n int) (a, b *State, known []*Record) {
	for i := range n {
		r := testRecord(i+2, "bkk", fmt.Sprintf("z%d", i%3))
		known = append(known, &r)
	}
	slices.SortFunc(known, func(a, b *Record) int { return cmp.Compare(a.ID, b.ID) })
	a = New(DefaultConfig(), testRecord(0, "bkk", "z0"), rand.New(rand.NewPCG(1, 0)))
	b = New(DefaultConfig(), testRecord(1, "bkk", "z0"), rand.New(rand.NewPCG(1, 1)))
	a.AddAlive(known)
	return a, b, known
}

// Members that return unchanged after the loss of a zone must use the short
// form; sending each in full took minutes. Short forms must not revive a member
// that leaves, one whose contents changed, or one that is unknown.
func TestRecoveriesUseShortForm(t *testing.T) {
	is := is.New(t)
	a, b, known := newStatePair(40)
	b.AddAlive(known)
	m := &Message{}
	for _, r := range known {
		c := Change{ID: r.ID, Incarnation: r.Incarnation + 1000, BodyDigest: r.Digest()}
		a.storeEntry(time.Second, c, nil)
		_, ok := a.addItem(m, &item{key: memberKey(r.ID), class: classDeath}, 2000)
		is.True(ok)
	}
	is.Equal(len(m.Recoveries), len(known))
	is.True(m.Size()-headerSize <= 10*len(known)+3)
	body, err := msgpack.Marshal(m)
	is.NoErr(err)
	var got Message
	is.NoErr(msgpack.Unmarshal(body, &got))
	is.Equal(got.Recoveries, m.Recoveries)

	leaving, changed, gone := known[0], known[1], known[2]
	b.applyChange(time.Second, Change{ID: leaving.ID, Incarnation: leaving.Incarnation + 1000, Status: Leaving, BodyDigest: leaving.Digest()}, 0)
	b.applyChange(time.Second, Change{ID: changed.ID, Incarnation: changed.Incarnation + 500, BodyDigest: changed.Digest() ^ 1}, 0)
	b.removeMember(gone.ID)
	b.receive(2*time.Second, &got, nil)
	is.Equal(b.tab.get(leaving.ID).status, Leaving)
	is.Equal(b.tab.get(changed.ID).inc, changed.Incarnation+500)
	is.True(b.tab.get(gone.ID) == nil)
	for _, r := range known[3:] {
		is.Equal(b.tab.get(r.ID).change(), a.tab.get(r.ID).change())
	}
}

// Deaths take six bytes each and round-trip; a truncated list is rejected.
func TestShortFormsRoundTrip(t *testing.T) {
	is := is.New(t)
	in := Message{Deaths: Deaths{{1, 2}, {1<<32 - 1, 1<<16 - 1}}, Recoveries: Recoveries{{3, 1<<32 - 1, 4}}}
	body, err := msgpack.Marshal(&in)
	is.NoErr(err)
	var out Message
	is.NoErr(msgpack.Unmarshal(body, &out))
	is.Equal(in, out)
	truncated, err := msgpack.Marshal([]byte{1, 2, 3, 4, 5, 6, 7})
	is.NoErr(err)
	is.True(msgpack.Unmarshal(truncated, &out.Deaths) != nil)
	is.True(msgpack.Unmarshal(truncated, &out.Recoveries) != nil)
}

// Pulled records are packed: sending similar records in full makes a join of a
// large fleet take minutes, and the return of a zone starves other gossip.
func TestPulledRecordsArePacked(t *testing.T) {
	is := is.New(t)
	a, b, known := newStatePair(500)
	a.applyChange(0, Change{ID: known[7].ID, Incarnation: known[7].Incarnation, Status: Leaving, BodyDigest: known[7].Digest()}, 0)
	const room = 1000
	m := &Message{Kind: Pull}
	sent, raw := 0, 0
	for parts := 0; ; parts++ {
		is.True(parts < 100)
		a.budget.Refill(time.Duration(parts) * 10 * time.Second)
		m.ReplyItemBytes = room
		r := &Message{From: a.self.ID}
		a.answerPull(m, r)
		is.True(r.Size()-headerSize <= room)
		sent += r.Size()
		b.receive(time.Second, r, nil)
		if !r.More {
			break
		}
		is.True(r.Next > m.After)
		m.After = r.Next
	}
	for _, r := range known {
		raw += r.size()
		is.Equal(b.tab.get(r.ID).change(), a.tab.get(r.ID).change())
		is.Equal(*b.tab.get(r.ID).rec, *r)
	}
	is.True(3*sent < raw)
}

// Decompression must be bounded: a few bytes from a peer may expand to
// gigabytes and exhaust the memory. Truncated input is rejected.
func TestUnpackIsBounded(t *testing.T) {
	is := is.New(t)
	var bomb bytes.Buffer
	w, err := flate.NewWriter(&bomb, flate.BestCompression)
	is.NoErr(err)
	for range 1000 {
		_, err = w.Write(make([]byte, 100_000))
		is.NoErr(err)
	}
	is.NoErr(w.Close())
	got, err := unpack(bomb.Bytes())
	is.True(err != nil)
	is.Equal(len(got), 0)
	a, b := testRecord(1, "bkk", "z0"), testRecord(2, "bkk", "z1")
	body := pack([]*Record{&a, &b})
	got, err = unpack(body)
	is.NoErr(err)
	is.Equal(got, []*Record{&a, &b})
	_, err = unpack(body[:len(body)/2])
	is.True(err != nil)
}
