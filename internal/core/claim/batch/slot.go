package batch

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"peardrift/internal/core/claim"
)

// Slot names a row that claims share, and says where its keys begin in time.
type Slot struct {
	Row   string
	Start time.Duration // since the Unix epoch
}

// SlotOf returns the row of a claim: rowKey is its claim.RowKey, key the
// idempotency key. ok is false for an undated key, which needs a row of its own.
func SlotOf(cfg Config, rowKey, key string) (s Slot, ok bool) {
	t, ok := claim.KeyTime(key)
	if !ok {
		return Slot{}, false
	}
	n := int64(t / cfg.Slot)
	shard := xxhash.Sum64String(rowKey) % uint64(cfg.Shards)
	row := "claims/" + strconv.FormatInt(n, 10) + "/" + strconv.FormatUint(shard, 10)
	return Slot{Row: row, Start: time.Duration(n) * cfg.Slot}, true
}

// entryKeySize is the length of an entry's key in bytes.
const entryKeySize = 16

// EntryKey returns the key of a claim's entry: the start of a digest, as the
// row key itself would be a third of the entry.
func EntryKey(rowKey string) string {
	sum := claim.Sum([]byte(rowKey))
	return string(sum[:entryKeySize])
}

// Pick returns the index of the node that batches a row, by rendezvous hash:
// when a node joins or leaves, only its own rows move. -1 if there is no node.
func Pick(row string, nodes []string) int {
	best, weight := -1, uint64(0)
	for i, n := range nodes {
		if w := xxhash.Sum64String(n + "\x00" + row); best < 0 || w > weight {
			best, weight = i, w
		}
	}
	return best
}
