package batch

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"peardrift/internal/core/claim"
	"peardrift/internal/status"
)

const t0 = 1_000_000 * time.Second

// store is the table's side: rows, and every entry that was ever in one.
type store struct {
	rows map[string]Write
	was  map[string]bool // entry names, by name()
}

func name(key string, e Entry) string { return fmt.Sprint(key, e.Version, e.Token) }

// apply does a conditional write. It fails the test if the row loses or takes
// back an entry.
func (s *store) apply(t *rapid.T, w Write) bool {
	old := s.rows[w.Row]
	if old.Version != w.Version-1 {
		return false
	}
	for key, e := range old.Entries {
		if next := w.Entries[key]; next.Version < e.Version || next.Version == e.Version && next.Token != e.Token {
			t.Fatalf("entry %v of key %s becomes %v", e, key, next)
		}
	}
	for key, e := range w.Entries {
		s.was[name(key, e)] = true
	}
	w.Entries = maps.Clone(w.Entries)
	s.rows[w.Row] = w
	return true
}

// todo is an action of a batcher, not yet done.
type todo struct {
	b   *Batcher
	act Action
}

// race is two batchers of one row with random faults.
type race struct {
	t       *rapid.T
	store   store
	nodes   [2]*Batcher
	todo    []todo
	late    []Write
	ops     map[uint64]Op
	replies map[uint64]Reply
	now     time.Duration
}

func (r *race) take(b *Batcher, acts []Action) {
	for _, a := range acts {
		if rep, ok := a.(Reply); ok {
			if _, dup := r.replies[rep.ID]; dup {
				r.t.Fatalf("op %d answered twice", rep.ID)
			}
			r.replies[rep.ID] = rep
			continue
		}
		r.todo = append(r.todo, todo{b, a})
	}
}

// do carries out one action; fate 0 is without a fault.
func (r *race) do(i, fate int) {
	d := r.todo[i]
	r.todo = append(r.todo[:i], r.todo[i+1:]...)
	switch act := d.act.(type) {
	case Write:
		r.write(d.b, act, fate)
	case Read:
		if fate > 0 {
			r.take(d.b, d.b.ReadFailed(r.now, act.Row))
			return
		}
		row := r.store.rows[act.Row]
		r.take(d.b, d.b.RowRead(r.now, act.Row, row.Version, maps.Clone(row.Entries)))
	}
}

func (r *race) write(b *Batcher, w Write, fate int) {
	switch fate {
	case 0:
		if r.store.apply(r.t, w) {
			r.take(b, b.Written(r.now, w.Row))
			return
		}
		r.take(b, b.ConditionFailed(r.now, w.Row))
		return
	case 1:
		r.take(b, b.NothingWritten(r.now, w.Row))
		return
	case 2:
		r.store.apply(r.t, w)
	case 3:
		r.late = append(r.late, w)
	}
	r.take(b, b.InDoubt(r.now, w.Row))
}

// submit gives a node the next op of some attempt: a claim of a key, or the
// move on from an entry that the attempt has.
func (r *race) submit(id uint64) {
	key := rapid.SampledFrom([]string{"k", "l", "m"}).Draw(r.t, "key")
	ver := int64(rapid.IntRange(0, 2).Draw(r.t, "version"))
	op := Op{
		ID: id, Slot: Slot{Row: "row", Start: t0}, Key: key, IfVersion: ver,
		Entry: Entry{Version: ver + 1, Token: fmt.Sprint("t", id)},
		Lazy:  rapid.Bool().Draw(r.t, "lazy"),
	}
	if op.Look = rapid.IntRange(0, 3).Draw(r.t, "look") == 0; op.Look {
		op.IfVersion = r.store.rows["row"].Entries[key].Version // what it must see at least
	}
	if rapid.IntRange(0, 3).Draw(r.t, "leaves") == 0 {
		op.Until = r.now + time.Duration(rapid.IntRange(1, 100).Draw(r.t, "in ms"))*time.Millisecond
	}
	r.ops[id] = op
	b := r.nodes[id%2]
	r.take(b, b.Submit(r.now, op))
}

// Symptom: a claim is told "yours" though another has it, or is lost from its
// row after it was acknowledged.
// Events: two nodes batch for the same row, answers are lost, writes arrive
// late, reads fail, the nodes pause between any two steps.
// Cause: a batching node that trusts its memory of the row, or its being the
// only one.
func TestTwoBatchersOfOneRow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &race{
			t: t, store: store{map[string]Write{}, map[string]bool{}}, now: t0,
			nodes: [2]*Batcher{New(DefaultConfig()), New(DefaultConfig())},
			ops:   map[uint64]Op{}, replies: map[uint64]Reply{},
		}
		for id := range uint64(rapid.IntRange(1, 60).Draw(t, "steps")) {
			r.submit(id)
			for range rapid.IntRange(0, 3).Draw(t, "answers") {
				if len(r.todo) > 0 {
					r.do(rapid.IntRange(0, len(r.todo)-1).Draw(t, "which"), rapid.IntRange(0, 4).Draw(t, "fate"))
				}
			}
			if len(r.late) > 0 && rapid.Bool().Draw(t, "arrives") {
				r.store.apply(t, r.late[0])
				r.late = r.late[1:]
			}
			r.now += time.Duration(rapid.IntRange(0, 60).Draw(t, "ms")) * time.Millisecond
			r.tick()
		}
		for len(r.replies) < len(r.ops) {
			for len(r.todo) > 0 {
				r.do(0, 0)
			}
			r.now += time.Second
			r.tick()
		}
		for _, w := range r.late {
			r.store.apply(t, w)
		}
		r.check()
	})
}

func (r *race) tick() {
	for _, b := range r.nodes {
		r.take(b, b.Tick(r.now))
	}
}

func (r *race) check() {
	for id, rep := range r.replies {
		op := r.ops[id]
		if op.Look {
			if rep.Result == OK && rep.Current.Version < op.IfVersion {
				r.t.Fatalf("%+v is shown an older %+v", op, rep.Current)
			}
			if rep.Current.Version > 0 && !r.store.was[name(op.Key, rep.Current)] {
				r.t.Fatalf("%+v is shown %+v, which never was", op, rep.Current)
			}
			continue
		}
		// An entry that a later op of the same batch replaced was never alone in
		// a row, so it is looked for only where it must not be.
		there := r.store.was[name(op.Key, op.Entry)]
		now := r.store.rows["row"].Entries[op.Key]
		switch {
		case rep.Result == OK && !there && now.Version <= op.Entry.Version:
			r.t.Fatalf("%+v is told OK, the row has %+v", op, now)
		case rep.Result != OK && rep.Result != Ambiguous && there:
			r.t.Fatalf("%+v is told %d, and was written", op, rep.Result)
		}
	}
}

func TestFullRowRefusesNewClaimsAndTakesOutcomes(t *testing.T) {
	is := is.New(t)
	cfg := DefaultConfig()
	cfg.MaxRow = entryOverhead + 1 + cfg.Reserve
	b := New(cfg)
	slot := Slot{Row: "row", Start: t0}
	b.Submit(t0, Op{ID: 1, Slot: slot, Key: "a", Entry: Entry{Version: 1}})
	is.Equal(b.Written(t0, "row"), []Action{Reply{ID: 1, Result: OK, Current: Entry{Version: 1}}})
	now := t0 + time.Second
	b.Submit(now, Op{ID: 2, Slot: slot, Key: "b", Entry: Entry{Version: 1}})
	acts := b.RowRead(now, "row", 1, map[string]Entry{"a": {Version: 1}})
	is.Equal(acts, []Action{Reply{ID: 2, Result: Full}})
	w := b.Submit(now+time.Second, Op{ID: 3, Slot: slot, Key: "a", Entry: Entry{Version: 2, Value: []byte("done")}, IfVersion: 1})
	is.Equal(w[0].(Write).Version, int64(2))
}

func TestSlotsAndNodes(t *testing.T) {
	is := is.New(t)
	id, err := uuid.NewV7()
	is.NoErr(err)
	at, _ := claim.KeyTime(id.String())
	l, err := Layouts(nil).Announce(at-Lead, DefaultConfig())
	is.NoErr(err)
	s, ok := l.SlotOf("claim/a/b/c/"+id.String(), id.String())
	is.True(ok)
	again, _ := l.SlotOf("claim/a/b/c/"+id.String(), id.String())
	is.Equal(s, again)
	_, ok = l.SlotOf("claim/a/b/c/x", "x")
	is.True(!ok)

	nodes := []uint64{11, 22, 33, 44}
	moved, taken := 0, map[int]int{}
	for i := range 1000 {
		row := fmt.Sprint("row", i)
		was := Pick(row, nodes, nil)
		taken[was]++
		if was != 3 && Pick(row, nodes[:3], nil) != was {
			moved++
		}
		is.True(Pick(row, nodes, func(i int) bool { return i == was }) != was)
	}
	is.Equal(moved, 0) // a node that leaves moves no rows of the others
	for i := range nodes {
		is.True(taken[i] > 150)
	}
	is.Equal(Pick("row", nil, nil), -1)
}

// Symptom: a payout runs twice while a fleet moves to other rows.
// Events: one node reads the layouts just before a new one is announced, another
// just after; both claim the same dated key, as late as the first one's
// knowledge allows.
// Cause: a layout that holds for keys which a node may place without it.
func TestNodesThatMayPlaceAKeyAgreeOnItsRow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		wrong := func(name string) time.Duration {
			return time.Duration(rapid.Int64Range(-int64(Margin/4), int64(Margin/4)).Draw(t, name))
		}
		under := time.Duration(rapid.Int64Range(0, int64(Margin/2)).Draw(t, "write under way"))
		announced := 100 * time.Hour
		old, err := Layouts(nil).Announce(time.Hour, Config{Slot: time.Second, Shards: 2})
		if err != nil {
			t.Fatal(err)
		}
		next, err := old.Announce(announced+wrong("announcer's clock"), DefaultConfig())
		if err != nil || !next.Extends(old) || old.Extends(next) {
			t.Fatal(next, err)
		}
		// The reader that doesn't see the new one read before its write arrived.
		read := announced + under - time.Duration(rapid.Int64Range(1, int64(time.Hour)).Draw(t, "before"))
		key := dated(time.Duration(rapid.Int64Range(0, int64(KnownUntil(read+wrong("reader's clock")))).Draw(t, "key")))
		was, ok := old.SlotOf("row", key)
		is, okNow := next.SlotOf("row", key)
		if was != is || ok != okNow {
			t.Fatalf("key %s is in %v and in %v", key, was, is)
		}
	})
}

// dated returns a UUID of version 7 with a time.
func dated(at time.Duration) string {
	var id uuid.UUID
	for i, ms := 0, uint64(at.Milliseconds()); i < 6; i++ {
		id[i] = byte(ms >> (40 - 8*i))
	}
	id[6], id[8] = 0x70, 0x80
	return id.String()
}

func TestLayoutsAreKeptWhole(t *testing.T) {
	is := is.New(t)
	l, err := Layouts(nil).Announce(time.Hour, DefaultConfig())
	is.NoErr(err)
	b, err := l.Encode()
	is.NoErr(err)
	back, err := DecodeLayouts(b)
	is.NoErr(err)
	is.Equal(back, l)
	_, err = l.Announce(time.Minute, DefaultConfig())
	is.Equal(status.CodeOf(err), status.CodeProtocol) // would begin before the last one
	_, err = DecodeLayouts([]byte{0x81, 0xa1, 'f', 2})
	is.Equal(status.CodeOf(err), status.CodeProtocol)
}

// Symptom: a node ends for want of memory. Events: it reads a row of layouts that
// was cut or written by something else. Cause: a list made as long as it says.
func FuzzDecodeLayouts(f *testing.F) {
	f.Add([]byte("\x922\xdd\x9c0\xdc\xdc0\xdc"))
	l, _ := Layouts(nil).Announce(time.Hour, DefaultConfig())
	b, _ := l.Encode()
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		if l, err := DecodeLayouts(b); err == nil {
			l.SlotOf("row", dated(time.Hour)) // divides by what was read
		}
	})
}

func FuzzDecode(f *testing.F) {
	b, _ := Encode(map[string]Entry{"k": {Version: 1, Token: "t"}})
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		entries, err := Decode(b)
		if err != nil {
			return
		}
		if _, err := Encode(entries); err != nil {
			t.Fatal(err)
		}
	})
}
