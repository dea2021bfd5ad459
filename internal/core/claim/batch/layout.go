package batch

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"

	"peardrift/internal/core/claim"
	"peardrift/internal/msgpackutil"
	"peardrift/internal/status"
)

// All nodes must map a dated key to the same row; otherwise two nodes claim it in
// two rows and its request runs twice. The layouts are therefore stored in one
// row of the table, and a node that has read it knows them for a limited time
// ahead: a new layout applies only to keys dated AnnounceLead or more after its
// announcement.
const (
	// LayoutKey is the table's row that holds the Layouts.
	LayoutKey = "claims/layouts"
	// AnnounceLead is how far ahead a layout is announced.
	AnnounceLead = 2 * time.Hour
	// ClockMargin is the part of AnnounceLead reserved for the clock difference between
	// announcer and reader and for the time that the announcement's write may be
	// in flight.
	ClockMargin = time.Hour
	// maxLayouts bounds the list, and the memory used by a corrupt row.
	maxLayouts = 64
	maxShards  = 1024
)

// Layout maps keys dated From or later, up to the next layout's From, to rows.
type Layout struct {
	From   time.Duration `msgpack:"f"` // since the Unix epoch
	Slot   time.Duration `msgpack:"s"`
	Shards int           `msgpack:"n"`
}

// Layouts are all layouts ever announced, ordered by From. Keys dated before the
// first one have a row of their own. The list is append-only.
type Layouts []Layout

// KnownUntil returns the latest key date for which a list read from the table at
// the reader's time at is complete.
func KnownUntil(at time.Duration) time.Duration { return at + AnnounceLead - ClockMargin }

// SlotOf returns the shared row of a claim; ok is false for a key with a row of
// its own.
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

// Announce returns the list extended by the layout of cfg, for keys dated AnnounceLead or
// more after now.
func (l Layouts) Announce(now time.Duration, cfg Config) (Layouts, error) {
	next := append(l[:len(l):len(l)], Layout{From: now + AnnounceLead, Slot: cfg.Slot, Shards: cfg.Shards})
	return next, next.validate()
}

// Extends reports whether old is a prefix of l.
func (l Layouts) Extends(old Layouts) bool {
	if len(l) < len(old) {
		return false
	}
	for i, layout := range old {
		if l[i] != layout {
			return false
		}
	}
	return true
}

func (l Layouts) validate() error {
	if len(l) > maxLayouts {
		return status.New(status.CodeProtocol, "%d claim layouts, limit is %d", len(l), maxLayouts)
	}
	var before time.Duration
	for _, layout := range l {
		if layout.From <= before || layout.Slot <= 0 || layout.Shards < 1 || layout.Shards > maxShards {
			return status.New(status.CodeProtocol, "invalid claim layout: from %v, %d shards, slot %v", layout.From, layout.Shards, layout.Slot)
		}
		before = layout.From
	}
	return nil
}

// layoutsFormat is the version of the encoding. A reader that does not support it
// claims no dated keys.
const layoutsFormat = 1

type encodedLayouts struct {
	Format  uint8   `msgpack:"f"`
	Layouts Layouts `msgpack:"l"`
}

// Encode returns the value of the layouts' row.
func (l Layouts) Encode() ([]byte, error) {
	b, err := msgpack.Marshal(&encodedLayouts{Format: layoutsFormat, Layouts: l})
	if err != nil {
		return nil, status.Wrap(status.CodeInternal, err, "encode claim layouts")
	}
	return b, nil
}

// DecodeLayouts decodes a value written by Layouts.Encode. It fails with
// status.CodeProtocol on any other value.
func DecodeLayouts(b []byte) (Layouts, error) {
	var v encodedLayouts
	if err := msgpackutil.Unmarshal(b, &v); err != nil {
		return nil, status.Wrap(status.CodeProtocol, err, "decode claim layouts")
	}
	if v.Format != layoutsFormat {
		return nil, status.New(status.CodeProtocol, "claim layouts have format %d, want %d", v.Format, layoutsFormat)
	}
	return v.Layouts, v.Layouts.validate()
}
