package sharedrows

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/google/uuid"

	"peardrift/internal/core/claim/batch"
	"peardrift/internal/port"
	"peardrift/internal/status"
)

// wallNow returns the wall clock time, on which times of keys, rows and layouts
// are based.
func wallNow() time.Duration { return time.Duration(time.Now().UnixNano()) }

// layouts caches the layouts of the table.
type layouts struct {
	table port.Table
	every time.Duration
	pool  Pool

	reading chan struct{} // semaphore: holds a token while no read is in flight

	mu          sync.Mutex
	list        batch.Layouts
	readAt      time.Duration // when the read of list started; 0: never
	refreshedAt time.Duration // when the last refresh was scheduled
}

func newLayouts(table port.Table, pool Pool, every time.Duration) *layouts {
	l := &layouts{table: table, pool: pool, every: every, reading: make(chan struct{}, 1)}
	l.reading <- struct{}{}
	return l
}

// upTo returns the layouts for keys dated t or earlier, and fails if they cannot
// be determined for certain. Safety depends on the key's date and the time of the
// read, not on the current time: a node that was paused for a day may still place
// the keys that it could place before.
func (l *layouts) upTo(ctx context.Context, t time.Duration) (batch.Layouts, error) {
	if list, ok := l.known(t); ok {
		l.refresh()
		return list, nil
	}
	select {
	case <-l.reading:
	case <-ctx.Done():
		return nil, port.ErrUnavailable
	}
	defer func() { l.reading <- struct{}{} }()
	if list, ok := l.known(t); ok {
		return list, nil // read by another caller in the meantime
	}
	if err := l.load(ctx); err != nil {
		return nil, err
	}
	if list, ok := l.known(t); ok {
		return list, nil
	}
	return nil, status.New(status.CodeKeyAhead, "the key is dated %v", t)
}

func (l *layouts) known(t time.Duration) (batch.Layouts, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.list, l.readAt > 0 && t <= batch.KnownUntil(l.readAt)
}

// refresh rereads outdated layouts in the background, so that no call waits for
// the read.
func (l *layouts) refresh() {
	now := wallNow()
	l.mu.Lock()
	due := now-max(l.readAt, l.refreshedAt) > l.every
	if due {
		l.refreshedAt = now
	}
	l.mu.Unlock()
	if !due {
		return
	}
	_ = l.pool.Submit(func() { // if the pool is full, a call after the next interval retries
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = l.load(ctx)
	})
}

func (l *layouts) load(ctx context.Context) error {
	at := wallNow()
	list, _, err := readLayouts(ctx, l.table)
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	// A list without a known layout would move claimed keys to other rows. Only an
	// outside change to the table causes it; reject it and place only the keys that
	// the cached list covers.
	if !list.Extends(l.list) {
		if l.list.Extends(list) && at < l.readAt {
			return nil // an older read that finished later
		}
		return status.New(status.CodeProtocol, "a claim layout was removed from the table")
	}
	l.list, l.readAt = list, max(at, l.readAt)
	return nil
}

func readLayouts(ctx context.Context, table port.Table) (batch.Layouts, int64, error) {
	item, err := table.Get(ctx, batch.LayoutKey)
	if errors.Is(err, port.ErrNotFound) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	list, err := batch.DecodeLayouts(item.Value)
	return list, item.Version, err
}

// Announce announces a layout of cfg for keys dated batch.AnnounceLead or more from now,
// and returns it. If the newest layout already equals cfg, Announce returns that
// one. It fails with status.CodeConflict on a concurrent announcement, and with
// status.CodeOutcomeUnknown if the write is ambiguous; repeat the call to resolve
// it.
func Announce(ctx context.Context, table port.Table, cfg batch.Config) (batch.Layout, error) {
	list, version, err := readLayouts(ctx, table)
	if err != nil {
		return batch.Layout{}, err
	}
	if last, ok := list.Last(); ok && last.Slot == cfg.Slot && last.Shards == cfg.Shards {
		return last, nil
	}
	list, err = list.Announce(wallNow(), cfg)
	if err != nil {
		return batch.Layout{}, err
	}
	value, err := list.Encode()
	if err != nil {
		return batch.Layout{}, err
	}
	last, _ := list.Last()
	item := port.Item{Key: batch.LayoutKey, Version: version + 1, Value: value, Token: uuid.NewString()}
	err = table.Put(ctx, port.Put{Item: item, IfVersion: version})
	switch {
	case errors.Is(err, port.ErrConditionFailed):
		return last, status.Wrap(status.CodeConflict, err, "another claim layout was announced concurrently")
	case errors.Is(err, port.ErrAmbiguous):
		return last, status.Wrap(status.CodeOutcomeUnknown, err, "the claim layout may have been announced")
	}
	return last, err
}
