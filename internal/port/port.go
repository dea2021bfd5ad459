// Package port defines the interfaces between peardrift and external systems. Adapters
// under internal/adapter implement them; tests use small fakes.
package port

import (
	"context"
	"time"

	"peardrift/internal/status"
)

// Errors of the platform. The error of a failed write tells whether the write may have taken
// effect; only reading the row back resolves ErrAmbiguous.
var (
	// ErrConditionFailed means that a write's condition did not hold; nothing was written.
	ErrConditionFailed = status.New("condition-failed", "the write's condition did not hold")
	// ErrAmbiguous means that the write may have taken effect; its response was lost.
	ErrAmbiguous = status.New("write-ambiguous", "the write may have taken effect")
	// ErrUnavailable means that the platform was unreachable; nothing was written.
	ErrUnavailable = status.New(status.CodePlatformDown, "the platform cannot be reached")
	// ErrNotFound means that there is no such item or object.
	ErrNotFound = status.New("not-found", "no such item or object")
)

// Item is one row of the table: a small value under a key, with a version that write
// conditions refer to.
type Item struct {
	Key     string
	Version int64     // set by the writer; 1 for the first write by convention
	Value   []byte    // at most MaxValue bytes
	Token   string    // identifies the write when the row is read back
	Expires time.Time // zero: never; the platform may remove the row after this time
}

// MaxValue bounds Item.Value in bytes (the table service's limit is 400 KB).
const MaxValue = 64 << 10

// Put is a conditional write. It takes effect only if the row's current version is
// IfVersion (0: the row must not exist).
type Put struct {
	Item      Item
	IfVersion int64
}

// Table is the platform's transactional table service.
//
// Methods are safe for concurrent use and return by ctx's deadline. A nil error means that
// the effect is durable. Errors match one of ErrConditionFailed, ErrAmbiguous,
// ErrUnavailable, ErrNotFound with errors.Is. Implementations must not retry a write whose
// response was lost: the caller resolves it by its Token.
type Table interface {
	// Get reads one row with strong consistency; ErrNotFound if there is none.
	Get(ctx context.Context, key string) (Item, error)
	// Put makes one conditional write.
	Put(ctx context.Context, p Put) error
	// PutAll makes all the writes or none, atomically.
	PutAll(ctx context.Context, ps []Put) error
}

// Lister is implemented by tables that can return all rows with a prefix in one call.
type Lister interface {
	// List returns the rows whose keys begin with prefix, at most a few hundred.
	List(ctx context.Context, prefix string) ([]Item, error)
}

// Restore describes a restore of the platform's store from an older copy: later writes are
// lost, and their versions are assigned again.
type Restore struct {
	FromEra, ToEra int64
	Before, After  int64 // newest row versions seen in each era; 0: none
}

// RestoreNotifier is implemented by tables that detect restores from an older copy.
type RestoreNotifier interface {
	// OnRestore sets the function that is called once per detected restore. It must be
	// called before the first use of the table; f may be called from any goroutine and
	// must not block.
	OnRestore(f func(Restore))
}

// Objects is the platform's object store. Objects are written under a name that includes
// their digest, so that writes are idempotent.
type Objects interface {
	Get(ctx context.Context, name string) ([]byte, error)
	Put(ctx context.Context, name string, body []byte) error
}
