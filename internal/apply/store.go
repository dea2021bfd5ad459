package apply

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/google/uuid"

	"peardrift/internal/core/configset"
	"peardrift/internal/core/request"
	"peardrift/internal/port"
	"peardrift/internal/status"
)

// Config holds the retry parameters of an apply.
type Config struct {
	// Attempts bounds the attempts at each step (writing the object, the deciding
	// write). Default 5. Lower leaves more applies with an unknown outcome or
	// unavailable in a short outage; higher makes an operator wait longer.
	Attempts int

	// InitialDelay is the delay before the second attempt. It grows by a factor of 1.5 per
	// attempt up to MaxDelay, with a jitter of 50% either way. Default 50ms. Lower
	// resolves sooner; higher puts less load on a failing platform.
	InitialDelay time.Duration

	// MaxDelay bounds the delay between attempts before jitter. Default 1s.
	MaxDelay time.Duration
}

// DefaultConfig returns the defaults.
func DefaultConfig() Config {
	return Config{Attempts: 5, InitialDelay: 50 * time.Millisecond, MaxDelay: time.Second}
}

// Store accepts sets and reads accepted ones.
type Store struct {
	table   port.Table
	objects port.Objects
	cfg     Config
	now     func() time.Time
	token   func() string
}

// New returns a store over the platform.
func New(table port.Table, objects port.Objects, cfg Config) *Store {
	return &Store{table: table, objects: objects, cfg: cfg, now: time.Now, token: uuid.NewString}
}

// Table returns the platform's table.
func (s *Store) Table() port.Table { return s.table }

// Head returns the accepted version of a tenant's set, or port.ErrNotFound if none was ever
// accepted.
func (s *Store) Head(ctx context.Context, t request.Tenant) (Record, error) {
	it, err := s.table.Get(ctx, headKey(t))
	if errors.Is(err, port.ErrNotFound) {
		return Record{}, status.Wrap(port.ErrNotFound.Code, err, "tenant %s has no accepted version", t)
	}
	if err != nil {
		return Record{}, err
	}
	return decodeRecord(t, it.Version, it)
}

// Version returns the record of one accepted version, or port.ErrNotFound if there is none.
func (s *Store) Version(ctx context.Context, t request.Tenant, version int64) (Record, error) {
	it, err := s.table.Get(ctx, historyKey(t, version))
	if errors.Is(err, port.ErrNotFound) {
		return Record{}, status.Wrap(port.ErrNotFound.Code, err, "tenant %s has no version %d", t, version)
	}
	if err != nil {
		return Record{}, err
	}
	return decodeRecord(t, version, it)
}

// History returns up to limit accepted versions, newest first. It makes one read per
// version.
func (s *Store) History(ctx context.Context, t request.Tenant, limit int) ([]Record, error) {
	head, err := s.Head(ctx, t)
	if err != nil {
		return nil, err
	}
	var out []Record
	for v := head.Version; v > 0 && len(out) < limit; v-- {
		r, err := s.Version(ctx, t, v)
		if err != nil {
			return nil, err
		}
		out = append(out, r)
	}
	return out, nil
}

// Tenants returns the sorted tenants that have an accepted set, and their shares; none if
// nothing was ever accepted.
func (s *Store) Tenants(ctx context.Context) ([]request.Tenant, map[request.Tenant]float64, error) {
	_, l, err := s.ledger(ctx)
	if err != nil {
		return nil, nil, err
	}
	return slices.Sorted(maps.Keys(l.Shares)), l.Shares, nil
}

// Set fetches an accepted set and verifies its digest.
func (s *Store) Set(ctx context.Context, r Record) (configset.Set, error) {
	body, err := s.Body(ctx, r.Tenant, r.Digest)
	if err != nil {
		return configset.Set{}, err
	}
	set, err := configset.Decode(body, r.Digest, r.Version)
	if err == nil && set.Tenant != r.Tenant {
		return configset.Set{}, status.New(status.CodeProtocol, "the set of %s belongs to %s", r.Tenant, set.Tenant)
	}
	return set, err
}

// Body fetches the canonical bytes of an accepted set without verifying them.
func (s *Store) Body(ctx context.Context, t request.Tenant, d configset.Digest) ([]byte, error) {
	return s.objects.Get(ctx, objectName(t, d))
}

// ledger returns the row version (0: no row yet) and the content of the share ledger.
func (s *Store) ledger(ctx context.Context) (int64, ledger, error) {
	l := ledger{Shares: make(map[request.Tenant]float64)}
	it, err := s.table.Get(ctx, sharesKey)
	if errors.Is(err, port.ErrNotFound) {
		return 0, l, nil
	}
	if err != nil {
		return 0, l, err
	}
	return it.Version, l, decodeRow(it, &l)
}
