package sharedrows

import (
	"context"
	"time"

	"peardrift/internal/core/claim/batch"
	"peardrift/internal/status"
)

// Op is a batch.Op as sent to the node that batches its row.
type Op struct {
	Row        string
	Start      time.Duration
	Key        string
	IfVersion  int64
	Token      string
	Value      []byte
	Expires    time.Duration
	Deferrable bool
	ReadOnly   bool          // read-only: returns the entry
	Timeout    time.Duration // how long its sender waits for the answer
}

// Answer is the result of an Op.
type Answer struct {
	Result batch.Result
	Code   status.Code // reason of a refusal, with Result batch.Unavailable
	// Version, Token and Value are the entry for a ReadOnly op with Result batch.OK;
	// Version is 0 if the entry is absent.
	Version int64
	Token   string
	Value   []byte
}

// Peers sends ops to other nodes.
type Peers interface {
	// Submit returns the answer of the node at a control address. After an error
	// the result of the op is unknown.
	Submit(ctx context.Context, addr string, op *Op) (Answer, error)
}

// Pool runs blocking tasks; *ants.Pool implements it.
type Pool interface {
	Submit(task func()) error
}

// Bounds of an op that a node accepts from another, in bytes.
const (
	maxRowName = 64
	maxToken   = 36
)

// validate rejects an op that no correct node sends. An op larger than the space
// that a row reserves for it could grow the row beyond the table's limit, and then
// no outcome in that row could be recorded.
func (o *Op) validate(cfg batch.Config) *status.Error {
	switch {
	case o.Row == "" || len(o.Row) > maxRowName,
		len(o.Key) != batch.EntryKeySize,
		o.Token == "" && !o.ReadOnly || len(o.Token) > maxToken,
		len(o.Value) > cfg.ReservedValueSize,
		o.IfVersion < 0:
		return status.New(status.CodeMalformed, "a claim op is out of bounds")
	}
	return nil
}

func (o *Op) toBatchOp() batch.Op {
	return batch.Op{
		Slot: batch.Slot{Row: o.Row, Start: o.Start}, Key: o.Key, IfVersion: o.IfVersion, Deferrable: o.Deferrable, ReadOnly: o.ReadOnly,
		Entry: batch.Entry{Version: o.IfVersion + 1, Token: o.Token, Value: o.Value, Expires: o.Expires},
	}
}
