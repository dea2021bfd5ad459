package batch

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"peardrift/internal/core/claim"
)

// Slot identifies a shared row and the time of its earliest keys.
type Slot struct {
	Row   string
	Start time.Duration // since the Unix epoch
}

// EntryKeySize is the length of an entry's key in bytes.
const EntryKeySize = 16

// EntryKey returns the key of a claim's entry: a truncated digest, because the row
// key itself would take a third of the entry.
func EntryKey(rowKey string) string {
	sum := claim.Sum([]byte(rowKey))
	return string(sum[:EntryKeySize])
}

// PickNode returns the index of the node that batches a row, by rendezvous hashing
// over the nodes' ids: when a node joins or leaves, only its own rows move. Nodes
// for which skip returns true are excluded; a nil skip excludes none. PickNode returns
// -1 if no node is left.
func PickNode(row string, ids []uint64, skip func(i int) bool) int {
	best, weight := -1, uint64(0)
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:], xxhash.Sum64String(row))
	for i, id := range ids {
		binary.LittleEndian.PutUint64(b[8:], id)
		w := xxhash.Sum64(b[:])
		if (best < 0 || w > weight) && (skip == nil || !skip(i)) {
			best, weight = i, w
		}
	}
	return best
}
