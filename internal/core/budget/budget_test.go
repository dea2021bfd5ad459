package budget

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against a lower-priority class being allowed while a higher one is not,
// which would delay drains and heads during a storm of joins.
func TestClassPriorityOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		b := New(2600, 2*time.Second, rapid.IntRange(0, 40000).Draw(rt, "start"))
		now := time.Duration(0)
		for range rapid.IntRange(1, 50).Draw(rt, "steps") {
			now += time.Duration(rapid.IntRange(0, 2000).Draw(rt, "ms")) * time.Millisecond
			b.Refill(now)
			b.Spend(rapid.IntRange(0, 3000).Draw(rt, "bytes"))
			for c := Drain; c < SeparateConn; c++ {
				if b.Allows(c+1) && !b.Allows(c) {
					rt.Fatalf("class %d is allowed with %d bytes, and %d isn't", c+1, b.Tokens(), c)
				}
			}
		}
	})
}

// Over any interval, spending while a class is allowed is bounded by the rate plus
// the burst; debt is repaid first, and debt beyond a bound is forgiven.
func TestBucketBoundsAllowedTraffic(t *testing.T) {
	is := is.New(t)
	const rate, cost = 1000, 100
	b := New(rate, 2*time.Second, 0)
	is.Equal(b.Tokens(), 2*rate)
	spent := 0
	for now := time.Duration(0); now <= 10*time.Second; now += 10 * time.Millisecond {
		for b.Refill(now); b.Allows(Drain); spent += cost {
			b.Spend(cost)
		}
	}
	is.True(spent <= 12*rate)
	is.True(spent >= 11*rate)
	b.Spend(1_000_000)
	is.Equal(b.Tokens(), -rate/2) // a quarter of the limit
	b.Refill(10*time.Second + 600*time.Millisecond)
	is.True(!b.Allows(Drain))
	b.Refill(11 * time.Second)
	is.True(b.Allows(Drain))
	is.True(!b.Allows(Head))
	is.True((*Bucket)(nil).Allows(Bulk))
}
