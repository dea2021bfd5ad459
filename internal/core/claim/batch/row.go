package batch

import (
	"maps"
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"peardrift/internal/mpack"
	"peardrift/internal/status"
)

// Entry is one claim in a row; the fields mean what they mean in port.Item.
type Entry struct {
	Version int64         `msgpack:"v"`
	Token   string        `msgpack:"t"`
	Value   []byte        `msgpack:"b"`
	Expires time.Duration `msgpack:"e,omitempty"` // 0: kept for good
}

// rowFormat is the version of the encoding.
const rowFormat = 1

type value struct {
	Format  uint8            `msgpack:"f"`
	Entries map[string]Entry `msgpack:"e"`
}

// Encode returns the value of a row.
func Encode(entries map[string]Entry) ([]byte, error) {
	b, err := msgpack.Marshal(&value{Format: rowFormat, Entries: entries})
	if err != nil {
		return nil, status.Wrap(status.CodeInternal, err, "encode a row of claims")
	}
	return b, nil
}

// Decode reads what Encode wrote; it fails with status.CodeProtocol on anything
// else.
func Decode(b []byte) (map[string]Entry, error) {
	var v value
	if err := mpack.Unmarshal(b, &v); err != nil {
		return nil, status.Wrap(status.CodeProtocol, err, "decode a row of claims")
	}
	if v.Format != rowFormat {
		return nil, status.New(status.CodeProtocol, "row of claims of format %d, want %d", v.Format, rowFormat)
	}
	return v.Entries, nil
}

// expiry returns when a row may go: with its last entry, never while one is
// kept for good.
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

// sortedKeys makes the order of rows independent of the map's.
func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
