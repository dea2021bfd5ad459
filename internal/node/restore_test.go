package node

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"peardrift/internal/port"
)

// Guards against a node that is in no seed row after the store was restored from a copy,
// because the store was still unavailable when the node read the rows.
func TestRejoinRetriesUntilTheRestoredStoreAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		restores := make(chan port.Restore, 1)
		const failures = 2
		var joins atomic.Int32
		go rejoin(ctx, restores, time.Second, func() error {
			if joins.Add(1) <= failures {
				return port.ErrUnavailable
			}
			return nil
		})
		time.Sleep(time.Minute)
		is.Equal(joins.Load(), int32(0)) // the store has not been restored yet
		restores <- port.Restore{}
		time.Sleep(time.Minute)
		is.Equal(joins.Load(), int32(failures+1))
		restores <- port.Restore{}
		time.Sleep(time.Minute)
		is.Equal(joins.Load(), int32(failures+2)) // once for each restore
		cancel()
		synctest.Wait()
	})
}
