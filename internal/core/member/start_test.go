package member

import (
	"fmt"
	"testing"
	"time"
)

// Guards against members that start together and stay strangers: each joins through
// what the first few offered, when those knew of few others themselves.
func TestFleetThatStartsAtOnceKnowsItself(t *testing.T) {
	const catchUp = 6 * time.Second
	for _, size := range []int{16, 96, 200} {
		t.Run(fmt.Sprintf("members=%d", size), func(t *testing.T) {
			net := newTestNet(DefaultConfig(), uint64(size))
			net.cfg.JoinRetry, net.cfg.CallTimeout = 150*time.Millisecond, 700*time.Millisecond
			const offered, over = 16, 300 * time.Millisecond
			for i := range size {
				net.start(testRecord(i, "r", fmt.Sprintf("z%d", i%6)), net.nodes[:min(i, offered)]...)
				net.run(over / time.Duration(size) / testDelay * testDelay)
			}
			net.run(catchUp)
			least := size
			for _, n := range net.nodes {
				least = min(least, known(n))
			}
			if least < size {
				t.Errorf("a member knows %d of %d after %v", least, size, catchUp)
			}
		})
	}
}

// known counts the members whose records a node has.
func known(n *testNode) int {
	c := 0
	n.s.Snapshot().All(func(m Member) bool {
		if m.Status == Alive {
			c++
		}
		return true
	})
	return c
}
