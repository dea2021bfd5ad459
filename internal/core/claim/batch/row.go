package batch

import (
	"maps"
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"peardrift/internal/msgpackutil"
	"peardrift/internal/status"
)

// Entry is one claim in a row; its fields have the meaning of those of port.Item.
type Entry struct {
	Version int64         `msgpack:"v"`
	Token   string        `msgpack:"t"`
	Value   []byte        `msgpack:"b"`
	Expires time.Duration `msgpack:"e,omitempty"` // 0: never
}

// rowFormat is the version of the encoding.
const rowFormat = 1

type encodedRow struct {
	Format  uint8            `msgpack:"f"`
	Entries map[string]Entry `msgpack:"e"`
}

// Encode returns the value of a row.
func Encode(entries map[string]Entry) ([]byte, error) {
	b, err := msgpack.Marshal(&encodedRow{Format: rowFormat, Entries: entries})
	if err != nil {
		return nil, status.Wrap(status.CodeInternal, err, "encode a claim row")
	}
	return b, nil
}

// Decode decodes a value written by Encode. It fails with status.CodeProtocol on
// any other value.
func Decode(b []byte) (map[string]Entry, error) {
	var v encodedRow
	if err := msgpackutil.Unmarshal(b, &v); err != nil {
		return nil, status.Wrap(status.CodeProtocol, err, "decode a claim row")
	}
	if v.Format != rowFormat {
		return nil, status.New(status.CodeProtocol, "claim row has format %d, want %d", v.Format, rowFormat)
	}
	return v.Entries, nil
}

// expiry returns when a row may be removed: when its last entry expires, or 0
// (never) if an entry does not expire.
func expiry(entries map[string]Entry) time.Duration {
	var last time.Duration
	for _, e := range entries {
		if e.Expires == 0 {
			return 0
		}
		last = max(last, e.Expires)
	}
	return last
}

// sortedKeys returns the keys of m in a deterministic order.
func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
