package batch

import "time"

// Op is a conditional write of one entry.
type Op struct {
	ID         uint64 // set by the caller, returned in Reply
	Slot       Slot
	Key        string        // EntryKey
	Entry      Entry         // Entry.Version must be IfVersion+1
	IfVersion  int64         // condition; 0: the entry is absent
	Deferrable bool          // may be delayed, as no caller waits for it
	Deadline   time.Duration // when its sender gives up; 0: never
	ReadOnly   bool          // read-only: Reply.Current is the entry, read after Submit
}

// Result is the result of an Op.
type Result uint8

const (
	// Unavailable: nothing was written.
	Unavailable Result = iota
	// OK: the entry is durable.
	OK
	// ConditionFailed: nothing was written; Reply.Current is the entry found.
	ConditionFailed
	// Ambiguous: the entry may be in the row or may still arrive.
	Ambiguous
	// Full: nothing was written, because the row has no room for another entry.
	Full
)

// Actions of a Batcher.
type (
	// Write puts a row if the table's row is at Version-1.
	Write struct {
		Row     string
		Version int64
		Entries map[string]Entry // read-only
		Expires time.Duration
	}
	// Read gets a row.
	Read struct{ Row string }
	// Reply answers an Op.
	Reply struct {
		ID      uint64
		Result  Result
		Current Entry
	}
)

// Action is a Write, Read or Reply.
type Action any
