package node

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"peardrift/internal/adapter/zaplog"
	"peardrift/internal/port"
)

// rejoinJitter is the time over which nodes that see the store restored from an older
// copy spread their reads of the seed rows. Few nodes poll the store, so few see it.
const rejoinJitter = 2 * time.Second

// watchRestores logs when the platform's store is restored from an older copy, and writes
// this node's leaves and its seed row if the copy lacks them. The configuration in force stays: the
// operator writes it again, and its version never decreases.
func (n *Node) watchRestores(ctx context.Context) {
	t, ok := n.table.(port.RestoreNotifier)
	if !ok {
		return
	}
	restores := make(chan port.Restore, 1)
	t.OnRestore(func(r port.Restore) {
		n.log.Warn("store came back from a copy", zap.Int64("from_era", r.FromEra), zap.Int64("to_era", r.ToEra),
			zap.Int64("before", r.Before), zap.Int64("after", r.After))
		n.metrics.Counters.StoreRestores.Inc(1)
		n.control.limiter.restores.Add(1)
		select {
		case restores <- r:
		default: // the pending one covers this one too
		}
	})
	n.spawn(func() {
		rejoin(ctx, restores, rejoinJitter, func() error {
			if err := n.control.leaves.rewrite(); err != nil {
				n.log.Warn("leaves not written", zaplog.Error(err))
				return err
			}
			_, _, err := n.newSeedStore().join(ctx)
			if err != nil {
				n.log.Warn("no nodes from the platform", zaplog.Error(err))
			}
			return err
		})
	})
}

// rejoin calls join after each restore of the store and retries until it succeeds, each
// time after a random delay of up to jitter.
func rejoin(ctx context.Context, restores <-chan port.Restore, jitter time.Duration, join func() error) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-restores:
		}
		for err := error(port.ErrUnavailable); err != nil; err = join() {
			if !sleep(ctx, rand.N(jitter)) {
				return
			}
		}
	}
}

// newSeedStore returns the seed rows as this node uses them.
func (n *Node) newSeedStore() *seedStore {
	return &seedStore{table: n.table, self: seedRow{Control: n.record().ControlAddr, Region: n.self.Place.Region}}
}
