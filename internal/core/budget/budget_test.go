package budget

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Symptom: a drain or a head waits while a storm of joins is told. Events: any
// order of spending and pauses. Cause: a later class is allowed what an earlier
// one is not.
func TestEarlierClassesGoFirst(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		b := New(2600, 2*time.Second, rapid.IntRange(0, 40000).Draw(rt, "start"))
		now := time.Duration(0)
		for range rapid.IntRange(1, 50).Draw(rt, "steps") {
			now += time.Duration(rapid.IntRange(0, 2000).Draw(rt, "ms")) * time.Millisecond
			b.Refill(now)
			b.Spend(rapid.IntRange(0, 3000).Draw(rt, "bytes"))
			for c := Drain; c < Conn; c++ {
				if b.Allows(c+1) && !b.Allows(c) {
					rt.Fatalf("class %d is allowed with %d bytes, and %d isn't", c+1, b.Tokens(), c)
				}
			}
		}
	})
}

// Over any time, what is spent while a class is allowed stays within the rate and
// what was saved up; a debt is paid first and is forgiven beyond a bound.
func TestBucketBoundsWhatIsAllowed(t *testing.T) {
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
	is.Equal(b.Tokens(), -rate/2) // a quarter of what can be saved up
	b.Refill(10*time.Second + 600*time.Millisecond)
	is.True(!b.Allows(Drain))
	b.Refill(11 * time.Second)
	is.True(b.Allows(Drain))
	is.True(!b.Allows(Head))
	is.True((*Bucket)(nil).Allows(Bulk))
}
