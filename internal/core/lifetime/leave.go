package lifetime

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"peardrift/internal/status"
)

// Key identifies an instance by the hash of its name.
type Key uint64

// KeyOf returns the key of an instance.
func KeyOf(instance string) Key { return Key(xxhash.Sum64String(instance)) }

// MarshalText implements encoding.TextMarshaler.
func (k Key) MarshalText() ([]byte, error) { return fmt.Appendf(nil, "%016x", uint64(k)), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (k *Key) UnmarshalText(b []byte) error {
	n, err := strconv.ParseUint(string(b), 16, 64)
	if err != nil {
		return status.Wrap(status.CodeProtocol, err, "invalid instance key")
	}
	*k = Key(n)
	return nil
}

// Leave is a leave that a target has reported.
type Leave struct {
	Instance  Key   `json:"instance"`
	StartedAt int64 `json:"born"` // start time in Unix milliseconds; 0 if the report names none
	At        int64 `json:"at"`   // time of the report in Unix milliseconds
}

// latestStart returns the latest start time that the leave applies to. One that names no
// start applies to all that may have been meant.
func (l Leave) latestStart() int64 { return cmp.Or(l.StartedAt, l.At) }

// AppliesTo reports whether the leave is that of a start of its instance; 0 stands for an
// unknown start.
func (l Leave) AppliesTo(startedAt int64) bool { return startedAt <= l.latestStart() }

// IsExpired reports whether the leave is no longer remembered.
func (l Leave) IsExpired(now time.Time) bool { return now.Sub(time.UnixMilli(l.At)) > Retention }

// Recent returns the leaves that have not expired.
func Recent(leaves []Leave, now time.Time) []Leave {
	return slices.DeleteFunc(slices.Clone(leaves), func(l Leave) bool { return l.IsExpired(now) })
}

// Retention is how long a leave is remembered outside the process that acknowledged it.
// A target serves for seconds, at times minutes, after its leave was acknowledged, and its
// reports arrive late by seconds. Raising it makes the records larger.
const Retention = time.Hour

const (
	// maxLeavesPerNode bounds the leaves that a Row holds for one node.
	maxLeavesPerNode = 16
	// maxLeavesPerRow bounds the leaves in a Row, so that it fits in port.MaxValue.
	maxLeavesPerRow = 256
)

// NodeLeave is a leave at a node.
type NodeLeave struct {
	Node string `json:"node"`
	Leave
}

// Row holds recent leaves at the nodes that share it, the oldest first.
type Row struct {
	Leaves []NodeLeave `json:"leaves"`
}

// Has reports whether the row holds a leave at a node.
func (r Row) Has(node string, l Leave) bool {
	return slices.Contains(r.Leaves, NodeLeave{Node: node, Leave: l})
}

// With returns the row with a leave at a node added, without expired leaves and without
// earlier reports of the same. Of too many, the oldest are dropped.
func (r Row) With(node string, l Leave, now time.Time) Row {
	kept := slices.DeleteFunc(slices.Clone(r.Leaves), func(x NodeLeave) bool {
		return x.IsExpired(now) || x.Node == node && x.Instance == l.Instance && x.StartedAt == l.StartedAt
	})
	kept = append(kept, NodeLeave{Node: node, Leave: l})
	ofNode := 0
	for i := len(kept) - 1; i >= 0; i-- {
		if kept[i].Node != node {
			continue
		}
		if ofNode++; ofNode > maxLeavesPerNode {
			kept = slices.Delete(kept, i, i+1)
		}
	}
	return Row{Leaves: kept[max(0, len(kept)-maxLeavesPerRow):]}
}

// Of returns the leaves at a node that have not expired.
func (r Row) Of(node string, now time.Time) []Leave {
	var out []Leave
	for _, x := range r.Leaves {
		if x.Node == node && !x.IsExpired(now) {
			out = append(out, x.Leave)
		}
	}
	return out
}

const (
	encodedLeaveSize = 24
	// maxEncodedLeaves bounds the leaves that AppendEncoded keeps. A late report of an
	// earlier lifetime may be recorded after the leave of the current one.
	maxEncodedLeaves = 2
)

// AppendEncoded adds a leave to the few recent ones in b, an earlier result or nil. Of two
// of an instance, it keeps the one of the later start. It returns at most 48 bytes.
func AppendEncoded(b []byte, l Leave) []byte {
	leaves := Decode(b)
	if slices.ContainsFunc(leaves, func(x Leave) bool { return x.Instance == l.Instance && x.latestStart() > l.latestStart() }) {
		return b
	}
	leaves = slices.DeleteFunc(leaves, func(x Leave) bool { return x.Instance == l.Instance })
	leaves = append([]Leave{l}, leaves...)
	var out []byte
	for _, x := range leaves[:min(len(leaves), maxEncodedLeaves)] {
		for _, v := range [...]uint64{uint64(x.Instance), uint64(x.StartedAt), uint64(x.At)} {
			out = binary.BigEndian.AppendUint64(out, v)
		}
	}
	return out
}

// Decode returns the leaves in the result of AppendEncoded, the newest first. It ignores
// an incomplete one at the end.
func Decode(b []byte) []Leave {
	var out []Leave
	for ; len(b) >= encodedLeaveSize; b = b[encodedLeaveSize:] {
		out = append(out, Leave{
			Instance:  Key(binary.BigEndian.Uint64(b)),
			StartedAt: int64(binary.BigEndian.Uint64(b[8:])),
			At:        int64(binary.BigEndian.Uint64(b[16:])),
		})
	}
	return out
}
