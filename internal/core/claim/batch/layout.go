package batch

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"

	"peardrift/internal/core/claim"
	"peardrift/internal/mpack"
	"peardrift/internal/status"
)

// Where a dated key lives may not depend on which node is asked, or two nodes
// claim it in two rows and its request runs twice. The layouts are therefore one
// row of the table, and a node that read it knows them for a while to come: a
// new one holds only for keys dated Lead or more after its announcement.
const (
	// LayoutKey is the table's row that holds the Layouts.
	LayoutKey = "claims/layouts"
	// Lead is how far ahead a layout is announced.
	Lead = 2 * time.Hour
	// Margin is what may go wrong in that time: by how much the clocks of who
	// announces and who reads differ, and how long the announcement's write may
	// be under way.
	Margin = time.Hour
	// maxLayouts bounds the list, and the memory that a faulty row can take.
	maxLayouts = 64
	maxShards  = 1024
)

// Layout says where keys live that are dated From or later, up to the next
// layout's From.
type Layout struct {
	From   time.Duration `msgpack:"f"` // since the Unix epoch
	Slot   time.Duration `msgpack:"s"`
	Shards int           `msgpack:"n"`
}

// Layouts are all that there ever were, by From. Keys dated before the first
// one have a row of their own. The list only grows.
type Layouts []Layout

// KnownUntil returns up to which date of keys a list is complete that was read
// from the table when the reader's clock said at.
func KnownUntil(at time.Duration) time.Duration { return at + Lead - Margin }

// SlotOf returns the row of a claim; ok is false for a key with a row of its
// own.
func (l Layouts) SlotOf(rowKey, key string) (s Slot, ok bool) {
	t, dated := claim.KeyTime(key)
	if !dated {
		return Slot{}, false
	}
	for i := len(l) - 1; i >= 0; i-- {
		if t >= l[i].From {
			return l[i].slotAt(t, rowKey), true
		}
	}
	return Slot{}, false
}

func (l Layout) slotAt(t time.Duration, rowKey string) Slot {
	n := int64(t / l.Slot)
	shard := xxhash.Sum64String(rowKey) % uint64(l.Shards)
	row := "claims/" + strconv.FormatInt(n, 10) + "/" + strconv.FormatUint(shard, 10)
	return Slot{Row: row, Start: time.Duration(n) * l.Slot}
}

// Last returns the newest layout; ok is false if there is none.
func (l Layouts) Last() (last Layout, ok bool) {
	if len(l) == 0 {
		return Layout{}, false
	}
	return l[len(l)-1], true
}

// Announce returns the list with a layout of cfg that holds for keys dated Lead
// after now.
func (l Layouts) Announce(now time.Duration, cfg Config) (Layouts, error) {
	next := append(l[:len(l):len(l)], Layout{From: now + Lead, Slot: cfg.Slot, Shards: cfg.Shards})
	return next, next.check()
}

// Extends reports whether l is old, or old with more behind it.
func (l Layouts) Extends(old Layouts) bool {
	if len(l) < len(old) {
		return false
	}
	for i, was := range old {
		if l[i] != was {
			return false
		}
	}
	return true
}

func (l Layouts) check() error {
	if len(l) > maxLayouts {
		return status.New(status.CodeProtocol, "%d layouts of claims, at most %d", len(l), maxLayouts)
	}
	var before time.Duration
	for _, x := range l {
		if x.From <= before || x.Slot <= 0 || x.Shards < 1 || x.Shards > maxShards {
			return status.New(status.CodeProtocol, "layout of claims from %v with %d rows in %v", x.From, x.Shards, x.Slot)
		}
		before = x.From
	}
	return nil
}

// layoutsFormat is the version of the encoding. A reader that doesn't know it
// claims no dated key.
const layoutsFormat = 1

type layoutsValue struct {
	Format  uint8   `msgpack:"f"`
	Layouts Layouts `msgpack:"l"`
}

// Encode returns the value of the layouts' row.
func (l Layouts) Encode() ([]byte, error) {
	b, err := msgpack.Marshal(&layoutsValue{Format: layoutsFormat, Layouts: l})
	if err != nil {
		return nil, status.Wrap(status.CodeInternal, err, "encode layouts of claims")
	}
	return b, nil
}

// DecodeLayouts reads what Encode wrote; it fails with status.CodeProtocol on
// anything else.
func DecodeLayouts(b []byte) (Layouts, error) {
	var v layoutsValue
	if err := mpack.Unmarshal(b, &v); err != nil {
		return nil, status.Wrap(status.CodeProtocol, err, "decode layouts of claims")
	}
	if v.Format != layoutsFormat {
		return nil, status.New(status.CodeProtocol, "layouts of claims of format %d, want %d", v.Format, layoutsFormat)
	}
	return v.Layouts, v.Layouts.check()
}
