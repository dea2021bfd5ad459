package port

import (
	"context"
	"time"

	"peardrift/internal/core/configset"
	"peardrift/internal/core/request"
)

// Sets reads accepted configuration sets. Methods are safe for concurrent use and return by
// ctx's deadline.
type Sets interface {
	// Tenants returns the tenants that have an accepted set.
	Tenants(ctx context.Context) ([]request.Tenant, error)
	// Head returns the accepted version of a tenant's set, or ErrNotFound if there is none.
	Head(ctx context.Context, t request.Tenant) (configset.Head, error)
	// Body returns the canonical bytes of a set without verifying them.
	Body(ctx context.Context, t request.Tenant, d configset.Digest) ([]byte, error)
}

// WatchedSets are Sets that support watching for newly accepted sets.
type WatchedSets interface {
	Sets
	// Next waits up to wait for an accepted set with a version above after; an error
	// means that the platform did not answer. The set may be older than one that another
	// call returned. Other calls don't consume sets: each version that stays the newest
	// for a while is also returned here. Only one call of Next may run at a time.
	Next(ctx context.Context, after int64, wait time.Duration) (Change, error)
}

// Change is the platform's response to a watch.
type Change struct {
	Set       *configset.EncodedSet // nil if there is no newer set
	Unchanged bool                  // the platform waited the full time and nothing changed
	// Problems are those of the parts that Set lacks although the platform has accepted them.
	Problems []configset.Problem
}

// Report is a target's report on its own state.
type Report struct {
	Instance        string // the instance's name
	StartedAt       int64  // start time in Unix milliseconds; 0 if not reported
	Service         request.Service
	Address         string        // address that the target serves on; empty if not reported
	Slots           int           // maximum concurrent requests; 0 if not reported
	Leaving         bool          // the target accepts no new work
	Final           bool          // the final report of this lifetime
	Seq             int64         // increases with each report of a lifetime
	WarmupRemaining time.Duration // remaining warm-up time; 0 if not reported
}
