package node

import (
	"context"
	"time"

	"go.uber.org/zap"

	"peardrift/internal/adapter/zaplog"
	"peardrift/internal/apply"
	"peardrift/internal/core/confset"
	"peardrift/internal/core/request"
)

// follower keeps the configuration in force up to date from the platform. Its
// fields belong to the control goroutine.
type follower struct {
	log    *zap.Logger
	store  *apply.Store
	submit func(func()) error
	post   func(func())

	index *confset.Index
	busy  bool
	next  time.Duration
}

// pollEvery is the time between two looks at the platform.
const pollEvery = time.Second

const pollTimeout = 5 * time.Second

func (f *follower) tick(now time.Duration) {
	if f.busy || now < f.next {
		return
	}
	f.next = now + pollEvery
	have := make(map[request.Tenant]int64)
	for _, t := range f.index.Tenants() {
		have[t] = f.index.Version(t)
	}
	f.busy = f.submit(func() {
		sets, err := f.fetch(have)
		f.post(func() { f.install(sets, err) })
	}) == nil
}

// fetch reads the sets that are newer than those at hand.
func (f *follower) fetch(have map[request.Tenant]int64) ([]confset.Set, error) {
	ctx, cancel := context.WithTimeout(context.Background(), pollTimeout)
	defer cancel()
	tenants, _, err := f.store.Tenants(ctx)
	if err != nil {
		return nil, err
	}
	var sets []confset.Set
	for _, t := range tenants {
		head, err := f.store.Head(ctx, t)
		if err != nil {
			return sets, err
		}
		if head.Version <= have[t] {
			continue
		}
		set, err := f.store.Set(ctx, head)
		if err != nil {
			return sets, err
		}
		sets = append(sets, set)
	}
	return sets, nil
}

// install puts sets in force whose versions are higher than the present ones.
func (f *follower) install(sets []confset.Set, err error) {
	f.busy = false
	if err != nil {
		f.log.Warn("configuration not read", zaplog.Failure(err))
	}
	for _, s := range sets {
		if s.Version > f.index.Version(s.Tenant) {
			f.index = f.index.With(s)
			f.log.Info("configuration in force", zap.String("tenant", string(s.Tenant)), zap.Int64("version", s.Version))
		}
	}
}
