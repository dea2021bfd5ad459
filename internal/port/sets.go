package port

import (
	"context"
	"time"

	"peardrift/internal/core/confset"
	"peardrift/internal/core/request"
)

// Sets is where accepted configuration sets are read. Methods may be called from
// any goroutine and end by ctx's deadline.
type Sets interface {
	// Tenants returns the tenants that have an accepted set.
	Tenants(ctx context.Context) ([]request.Tenant, error)
	// Head returns the accepted version of a tenant's set; ErrNotFound if none.
	Head(ctx context.Context, t request.Tenant) (confset.Head, error)
	// Body returns the canonical bytes of a set, not yet verified.
	Body(ctx context.Context, t request.Tenant, d confset.Digest) ([]byte, error)
}

// WatchedSets are Sets that tell of a newly accepted set by themselves.
type WatchedSets interface {
	Sets
	// Next waits for an accepted set with a version above after; an error says
	// that the platform did not answer. What it returns may be older than what
	// another call has returned. No other call takes a set from it: whatever is
	// read for others, each version that is the newest for a while is returned
	// here too. One call at a time.
	Next(ctx context.Context, after int64, wait time.Duration) (Change, error)
}

// Change is what a platform says that was asked for changes.
type Change struct {
	Set   *confset.Packed // nil if there is none to tell
	Quiet bool            // the platform waited for all of the time, and nothing changed
}

// Report is what a target says of itself.
type Report struct {
	Instance string // its name
	Born     int64  // when it started, in Unix milliseconds; 0 if it doesn't say
	Service  request.Service
	Address  string // where it serves; empty if it doesn't say
	Slots    int    // requests that it runs at once; 0 if it doesn't say
	Leaving  bool   // it takes no new work
	Last     bool   // nothing follows
	Seq      int64  // rises with each report of a lifetime
	Cold     time.Duration
}
