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

// Guards against a node that is in no row to join through after the store has come back
// from a copy, since it was still away when the node looked.
func TestRowsAreLookedAtUntilTheReturnedStoreAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		seen := make(chan port.Rewind, 1)
		const away = 2
		var looks atomic.Int32
		go rejoin(ctx, seen, time.Second, func() error {
			if looks.Add(1) <= away {
				return port.ErrUnavailable
			}
			return nil
		})
		time.Sleep(time.Minute)
		is.Equal(looks.Load(), int32(0)) // the store has not returned
		seen <- port.Rewind{}
		time.Sleep(time.Minute)
		is.Equal(looks.Load(), int32(away+1))
		seen <- port.Rewind{}
		time.Sleep(time.Minute)
		is.Equal(looks.Load(), int32(away+2)) // once for each return
		cancel()
		synctest.Wait()
	})
}
