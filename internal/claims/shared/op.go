package shared

import (
	"context"
	"time"

	"peardrift/internal/core/claim/batch"
	"peardrift/internal/status"
)

// Op is a batch.Op on its way to the node that batches its row.
type Op struct {
	Row       string
	Start     time.Duration
	Key       string
	IfVersion int64
	Token     string
	Value     []byte
	Expires   time.Duration
	Lazy      bool
	Look      bool          // only asks for the entry
	Wait      time.Duration // how long its sender waits for the answer
}

// Answer is how an Op ended.
type Answer struct {
	Result batch.Result
	Code   status.Code // why it was refused, with Result batch.Unavailable
	// Of a Look with Result batch.OK: the entry; Version 0 if there is none.
	Version int64
	Token   string
	Value   []byte
}

// Peers carries ops to other nodes.
type Peers interface {
	// Submit returns the answer of the node at a control address. An error says
	// nothing of what became of the op.
	Submit(ctx context.Context, addr string, op *Op) (Answer, error)
}

// Pool runs what waits for others; *ants.Pool is one.
type Pool interface {
	Submit(task func()) error
}

// Bounds of what a node takes from another, in bytes.
const (
	maxRowName = 64
	maxToken   = 36
)

// check refuses an op that no node sends. One that is larger than a row reserves
// for it would let the row outgrow the table's bound, and none of its claims
// could be recorded any more.
func (o *Op) check(cfg batch.Config) *status.Error {
	switch {
	case o.Row == "" || len(o.Row) > maxRowName,
		len(o.Key) != batch.EntryKeySize,
		o.Token == "" && !o.Look || len(o.Token) > maxToken,
		len(o.Value) > cfg.Reserve,
		o.IfVersion < 0:
		return status.New(status.CodeMalformed, "an op of a claim is out of bounds")
	}
	return nil
}

func (o *Op) batched() batch.Op {
	return batch.Op{
		Slot: batch.Slot{Row: o.Row, Start: o.Start}, Key: o.Key, IfVersion: o.IfVersion, Lazy: o.Lazy, Look: o.Look,
		Entry: batch.Entry{Version: o.IfVersion + 1, Token: o.Token, Value: o.Value, Expires: o.Expires},
	}
}
