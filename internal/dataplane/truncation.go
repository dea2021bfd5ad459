package dataplane

import (
	"context"

	"peardrift/internal/adapter/hertzhttp"
)

// Truncation tells why an answer was passed on only in part.
type Truncation uint8

const (
	// NotTruncated: the answer was passed on completely, or it was not streamed.
	NotTruncated Truncation = iota
	// TruncatedByCaller: the caller left.
	TruncatedByCaller
	// TruncatedByDeadline: the call's deadline passed.
	TruncatedByDeadline
	// TruncatedByCallee: the connection to the callee broke.
	TruncatedByCallee
	// TruncatedByNode: this node canceled the call.
	TruncatedByNode
)

// String returns the reason as used in metrics, logs and spans.
func (t Truncation) String() string {
	return [...]string{"", "caller", "deadline", "callee", "node"}[t]
}

// truncationOf returns why the stream of an answer ended early. ctx is the context of
// the call.
func truncationOf(ctx context.Context, s *hertzhttp.Stream) Truncation {
	if s.Complete() {
		return NotTruncated
	}
	switch hertzhttp.EndReasonOf(ctx) {
	case hertzhttp.CallerLeft:
		return TruncatedByCaller
	case hertzhttp.DeadlinePassed:
		return TruncatedByDeadline
	case hertzhttp.Canceled:
		return TruncatedByNode
	}
	if s.Failed() {
		return TruncatedByCallee
	}
	return TruncatedByCaller // writing to it failed
}
