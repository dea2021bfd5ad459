// Package port holds the interfaces between peardrift and what is outside it.
// Adapters under internal/adapter implement them; tests use small fakes.
package port

import (
	"context"
	"time"

	"peardrift/internal/status"
)

// Failures of the platform. A failed write says whether it may have taken
// effect: ErrAmbiguous is settled only by reading back.
var (
	// ErrConditionFailed: the condition of a write did not hold; nothing was written.
	ErrConditionFailed = status.New("condition-failed", "the write's condition did not hold")
	// ErrAmbiguous: the write may have taken effect; its answer was lost.
	ErrAmbiguous = status.New("write-ambiguous", "the write may have taken effect")
	// ErrUnavailable: the platform could not be reached; nothing was written.
	ErrUnavailable = status.New(status.CodePlatformDown, "the platform cannot be reached")
	// ErrNotFound: there is no such item or object.
	ErrNotFound = status.New("not-found", "no such item or object")
)

// Item is one row of the table: a small value under a key, with a version that
// conditions refer to. A write sets the version.
type Item struct {
	Key     string
	Version int64     // set by the writer; 1 for a first write by convention
	Value   []byte    // at most MaxValue bytes
	Token   string    // names the write attempt, so that it can be recognised when read back
	Expires time.Time // zero: kept for good; else the platform may remove it after
}

// MaxValue bounds Item.Value in bytes (the table service's limit is 400 KB).
const MaxValue = 64 << 10

// Put is a conditional write: it takes effect only if the row's version is
// IfVersion at that moment (0: the row must not exist).
type Put struct {
	Item      Item
	IfVersion int64
}

// Table is the platform's transactional table service.
//
// Methods may be called from any goroutine and end by ctx's deadline. A nil
// error means that the effect is durable. Errors match one of ErrConditionFailed,
// ErrAmbiguous, ErrUnavailable, ErrNotFound with errors.Is. Implementations
// must not repeat a write whose answer was lost: the caller settles it by its
// Token.
type Table interface {
	// Get reads one row with strong consistency; ErrNotFound if there is none.
	Get(ctx context.Context, key string) (Item, error)
	// Put does one conditional write.
	Put(ctx context.Context, p Put) error
	// PutAll does all the writes or none.
	PutAll(ctx context.Context, ps []Put) error
}

// Lister is implemented by tables that return all rows of a prefix in one call.
type Lister interface {
	// List returns the rows whose keys begin with prefix, at most some hundred.
	List(ctx context.Context, prefix string) ([]Item, error)
}

// Rewind is a return of the platform's store from an older copy: what was written
// since is gone, and its versions are given out again.
type Rewind struct {
	FromEra, ToEra int64
	Before, After  int64 // newest versions of rows that were seen in either; 0: none
}

// Rewinds is implemented by tables that tell of such a return.
type Rewinds interface {
	// OnRewind sets what is told, once for each return that is seen. Call it before the
	// first use of the table; f may be called from any goroutine and must not block.
	OnRewind(f func(Rewind))
}

// Objects is the platform's object store. Objects are written once under a
// name that includes their digest, so that a repeated write is harmless.
type Objects interface {
	Get(ctx context.Context, name string) ([]byte, error)
	Put(ctx context.Context, name string, body []byte) error
}
