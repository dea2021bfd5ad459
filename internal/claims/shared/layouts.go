package shared

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

// wall returns the time that keys, rows and layouts are dated by.
func wall() time.Duration { return time.Duration(time.Now().UnixNano()) }

// layouts are the layouts as the node knows them.
type layouts struct {
	table port.Table
	every time.Duration
	pool  Pool

	reading chan struct{} // holds a token while nobody reads

	mu    sync.Mutex
	list  batch.Layouts
	read  time.Duration // when the list was asked for; 0: never
	asked time.Duration // last time it was to be read anew
}

func newLayouts(table port.Table, pool Pool, every time.Duration) *layouts {
	l := &layouts{table: table, pool: pool, every: every, reading: make(chan struct{}, 1)}
	l.reading <- struct{}{}
	return l
}

// upTo returns the layouts for keys dated t or earlier, and fails if they can't
// be known for certain. Safety rests on the key's date and the time of the read,
// not on the present: a node that was frozen for a day may still place the keys
// that it could place before.
func (l *layouts) upTo(ctx context.Context, t time.Duration) (batch.Layouts, error) {
	if list, ok := l.known(t); ok {
		l.renew()
		return list, nil
	}
	select {
	case <-l.reading:
	case <-ctx.Done():
		return nil, port.ErrUnavailable
	}
	defer func() { l.reading <- struct{}{} }()
	if list, ok := l.known(t); ok {
		return list, nil // another read them meanwhile
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
	return l.list, l.read > 0 && t <= batch.KnownUntil(l.read)
}

// renew reads the layouts in the background if they are old, so that no call
// has to wait for it.
func (l *layouts) renew() {
	now := wall()
	l.mu.Lock()
	due := now-max(l.read, l.asked) > l.every
	if due {
		l.asked = now
	}
	l.mu.Unlock()
	if !due {
		return
	}
	_ = l.pool.Submit(func() { // else the next call tries, a while later
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = l.load(ctx)
	})
}

func (l *layouts) load(ctx context.Context) error {
	at := wall()
	list, _, err := readLayouts(ctx, l.table)
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	// A list that has lost a layout would move keys that are claimed. It is the
	// work of a hand at the table: then no key is placed but those known before.
	if !list.Extends(l.list) {
		if l.list.Extends(list) && at < l.read {
			return nil // an older read that ended later
		}
		return status.New(status.CodeProtocol, "layouts of claims were taken back")
	}
	l.list, l.read = list, max(at, l.read)
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

// Announce declares that keys dated batch.Lead from now on share rows as cfg
// says, and returns the layout. If the newest layout already says so, it stays.
// It fails with status.CodeConflict if another announced one at the same time,
// and with status.CodeOutcomeUnknown if it may be announced; repeating it tells.
func Announce(ctx context.Context, table port.Table, cfg batch.Config) (batch.Layout, error) {
	list, version, err := readLayouts(ctx, table)
	if err != nil {
		return batch.Layout{}, err
	}
	if last, ok := list.Last(); ok && last.Slot == cfg.Slot && last.Shards == cfg.Shards {
		return last, nil
	}
	list, err = list.Announce(wall(), cfg)
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
		return last, status.Wrap(status.CodeConflict, err, "another layout of claims was announced meanwhile")
	case errors.Is(err, port.ErrAmbiguous):
		return last, status.Wrap(status.CodeOutcomeUnknown, err, "the layout may be announced")
	}
	return last, err
}
