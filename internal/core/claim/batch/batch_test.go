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

// store is a fake table that also records every entry ever written.
type store struct {
	rows    map[string]Write
	written map[string]bool // entries ever written, by entryName
}

func entryName(key string, e Entry) string { return fmt.Sprint(key, e.Version, e.Token) }

// apply executes a conditional write. It fails the test if the row loses an
// entry or reverts it to an older version.
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
		s.written[entryName(key, e)] = true
	}
	w.Entries = maps.Clone(w.Entries)
	s.rows[w.Row] = w
	return true
}

// pendingAction is an action of a batcher that has not been carried out.
type pendingAction struct {
	batcher *Batcher
	action  Action
}

// race drives two batchers of one row with random faults.
type race struct {
	t          *rapid.T
	store      store
	nodes      [2]*Batcher
	pending    []pendingAction
	lateWrites []Write
	ops        map[uint64]Op
	replies    map[uint64]Reply
	now        time.Duration
}

func (r *race) handle(b *Batcher, acts []Action) {
	for _, a := range acts {
		if rep, ok := a.(Reply); ok {
			if _, dup := r.replies[rep.ID]; dup {
				r.t.Fatalf("op %d answered twice", rep.ID)
			}
			r.replies[rep.ID] = rep
			continue
		}
		r.pending = append(r.pending, pendingAction{b, a})
	}
}

// execute carries out one action; fault 0 means no fault.
func (r *race) execute(i, fault int) {
	d := r.pending[i]
	r.pending = append(r.pending[:i], r.pending[i+1:]...)
	switch act := d.action.(type) {
	case Write:
		r.write(d.batcher, act, fault)
	case Read:
		if fault > 0 {
			r.handle(d.batcher, d.batcher.ReadFailed(r.now, act.Row))
			return
		}
		row := r.store.rows[act.Row]
		r.handle(d.batcher, d.batcher.RowRead(r.now, act.Row, row.Version, maps.Clone(row.Entries)))
	}
}

func (r *race) write(b *Batcher, w Write, fault int) {
	switch fault {
	case 0:
		if r.store.apply(r.t, w) {
			r.handle(b, b.Written(r.now, w.Row))
			return
		}
		r.handle(b, b.ConditionFailed(r.now, w.Row))
		return
	case 1:
		r.handle(b, b.NotWritten(r.now, w.Row))
		return
	case 2:
		r.store.apply(r.t, w)
	case 3:
		r.lateWrites = append(r.lateWrites, w)
	}
	r.handle(b, b.Ambiguous(r.now, w.Row))
}

// submit sends a node a random op: a claim of a key, or the next version of an
// existing entry.
func (r *race) submit(id uint64) {
	key := rapid.SampledFrom([]string{"k", "l", "m"}).Draw(r.t, "key")
	ver := int64(rapid.IntRange(0, 2).Draw(r.t, "version"))
	op := Op{
		ID: id, Slot: Slot{Row: "row", Start: t0}, Key: key, IfVersion: ver,
		Entry:      Entry{Version: ver + 1, Token: fmt.Sprint("t", id)},
		Deferrable: rapid.Bool().Draw(r.t, "lazy"),
	}
	if op.ReadOnly = rapid.IntRange(0, 3).Draw(r.t, "look") == 0; op.ReadOnly {
		op.IfVersion = r.store.rows["row"].Entries[key].Version // the oldest version it may return
	}
	if rapid.IntRange(0, 3).Draw(r.t, "leaves") == 0 {
		op.Deadline = r.now + time.Duration(rapid.IntRange(1, 100).Draw(r.t, "in ms"))*time.Millisecond
	}
	r.ops[id] = op
	b := r.nodes[id%2]
	r.handle(b, b.Submit(r.now, op))
}

// Guards against acknowledging a claim that another attempt holds, and against
// losing an acknowledged claim, when a batching node trusts its cached row or
// assumes that it is the only batcher. Two nodes batch one row while answers are
// lost, writes arrive late, reads fail and the nodes pause between any two steps.
func TestConcurrentBatchersOfOneRow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &race{
			t: t, store: store{map[string]Write{}, map[string]bool{}}, now: t0,
			nodes: [2]*Batcher{New(DefaultConfig()), New(DefaultConfig())},
			ops:   map[uint64]Op{}, replies: map[uint64]Reply{},
		}
		for id := range uint64(rapid.IntRange(1, 60).Draw(t, "steps")) {
			r.submit(id)
			for range rapid.IntRange(0, 3).Draw(t, "answers") {
				if len(r.pending) > 0 {
					r.execute(rapid.IntRange(0, len(r.pending)-1).Draw(t, "which"), rapid.IntRange(0, 4).Draw(t, "fate"))
				}
			}
			if len(r.lateWrites) > 0 && rapid.Bool().Draw(t, "arrives") {
				r.store.apply(t, r.lateWrites[0])
				r.lateWrites = r.lateWrites[1:]
			}
			r.now += time.Duration(rapid.IntRange(0, 60).Draw(t, "ms")) * time.Millisecond
			r.tick()
		}
		for len(r.replies) < len(r.ops) {
			for len(r.pending) > 0 {
				r.execute(0, 0)
			}
			r.now += time.Second
			r.tick()
		}
		for _, w := range r.lateWrites {
			r.store.apply(t, w)
		}
		r.check()
	})
}

func (r *race) tick() {
	for _, b := range r.nodes {
		r.handle(b, b.Tick(r.now))
	}
}

func (r *race) check() {
	for id, rep := range r.replies {
		op := r.ops[id]
		if op.ReadOnly {
			if rep.Result == OK && rep.Current.Version < op.IfVersion {
				r.t.Fatalf("%+v returned the older entry %+v", op, rep.Current)
			}
			if rep.Current.Version > 0 && !r.store.written[entryName(op.Key, rep.Current)] {
				r.t.Fatalf("%+v returned %+v, which was never written", op, rep.Current)
			}
			continue
		}
		// An entry replaced by a later op of the same batch never appears in a
		// stored row, so a missing entry is an error only if no newer one exists.
		found := r.store.written[entryName(op.Key, op.Entry)]
		now := r.store.rows["row"].Entries[op.Key]
		switch {
		case rep.Result == OK && !found && now.Version <= op.Entry.Version:
			r.t.Fatalf("%+v returned OK, but the row has %+v", op, now)
		case rep.Result != OK && rep.Result != Ambiguous && found:
			r.t.Fatalf("%+v returned %d, but was written", op, rep.Result)
		}
	}
}

func TestFullRowRefusesNewClaimsAndAcceptsOutcomes(t *testing.T) {
	is := is.New(t)
	cfg := DefaultConfig()
	cfg.MaxRow = entryOverhead + 1 + cfg.ReservedValueSize
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

func TestSlotAndNodeSelection(t *testing.T) {
	is := is.New(t)
	id, err := uuid.NewV7()
	is.NoErr(err)
	at, _ := claim.KeyTime(id.String())
	l, err := Layouts(nil).Announce(at-AnnounceLead, DefaultConfig())
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
		was := PickNode(row, nodes, nil)
		taken[was]++
		if was != 3 && PickNode(row, nodes[:3], nil) != was {
			moved++
		}
		is.True(PickNode(row, nodes, func(i int) bool { return i == was }) != was)
	}
	is.Equal(moved, 0) // rows of the remaining nodes stay when a node leaves
	for i := range nodes {
		is.True(taken[i] > 150)
	}
	is.Equal(PickNode("row", nil, nil), -1)
}

// Guards against a second run during a layout change: one node reads the layouts
// just before an announcement and another just after, and both claim the same
// dated key as late as the first node's list is valid. A new layout must not
// apply to keys that a node may place without it.
func TestNodesThatMayPlaceAKeyAgreeOnItsRow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clockError := func(name string) time.Duration {
			return time.Duration(rapid.Int64Range(-int64(ClockMargin/4), int64(ClockMargin/4)).Draw(t, name))
		}
		inFlight := time.Duration(rapid.Int64Range(0, int64(ClockMargin/2)).Draw(t, "write under way"))
		announced := 100 * time.Hour
		old, err := Layouts(nil).Announce(time.Hour, Config{Slot: time.Second, Shards: 2})
		if err != nil {
			t.Fatal(err)
		}
		next, err := old.Announce(announced+clockError("announcer's clock"), DefaultConfig())
		if err != nil || !next.Extends(old) || old.Extends(next) {
			t.Fatal(next, err)
		}
		// The reader without the new layout read before its write arrived.
		read := announced + inFlight - time.Duration(rapid.Int64Range(1, int64(time.Hour)).Draw(t, "before"))
		key := dated(time.Duration(rapid.Int64Range(0, int64(KnownUntil(read+clockError("reader's clock")))).Draw(t, "key")))
		was, ok := old.SlotOf("row", key)
		is, okNow := next.SlotOf("row", key)
		if was != is || ok != okNow {
			t.Fatalf("key %s is in %v and in %v", key, was, is)
		}
	})
}

// dated returns a UUIDv7 with the given time.
func dated(at time.Duration) string {
	var id uuid.UUID
	for i, ms := 0, uint64(at.Milliseconds()); i < 6; i++ {
		id[i] = byte(ms >> (40 - 8*i))
	}
	id[6], id[8] = 0x70, 0x80
	return id.String()
}

func TestLayoutsEncoding(t *testing.T) {
	is := is.New(t)
	l, err := Layouts(nil).Announce(time.Hour, DefaultConfig())
	is.NoErr(err)
	b, err := l.Encode()
	is.NoErr(err)
	back, err := DecodeLayouts(b)
	is.NoErr(err)
	is.Equal(back, l)
	_, err = l.Announce(time.Minute, DefaultConfig())
	is.Equal(status.CodeOf(err), status.CodeProtocol) // would start before the last one
	_, err = DecodeLayouts([]byte{0x81, 0xa1, 'f', 2})
	is.Equal(status.CodeOf(err), status.CodeProtocol)
}

// Guards against running out of memory on a truncated or foreign layouts row whose
// length prefix is used to allocate the list.
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
