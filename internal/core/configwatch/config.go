package configwatch

import "time"

// Config holds the parameters of a State. All nodes should use the same values.
type Config struct {
	// Roots is the number of nodes of a region that poll the platform
	// continuously. Default 3. A higher value tolerates more simultaneous root
	// failures without other nodes polling the platform, and costs calls in
	// proportion.
	Roots int

	// Fanout is the mean number of children of each node of a level. Default
	// 32. A higher value makes the tree flatter and loads its inner nodes more:
	// each child costs one call per PollWait.
	Fanout int

	// PollWait is how long a poll waits at the platform for a change. A lower value
	// keeps watermarks more recent and costs calls.
	PollWait time.Duration

	// PollTimeout is the timeout of a poll to the platform. It must exceed PollWait by
	// the response time of a slow platform.
	PollTimeout time.Duration

	// StaleAfter is the age of the watermark above which a node polls the platform
	// itself. It must exceed PollWait by the time that replies take to propagate
	// down the tree.
	StaleAfter time.Duration

	// PeerWait is how long a node holds a child's poll without news; PeerTimeout
	// is the timeout of the child's poll. Higher values tolerate slower parents
	// and detect dead ones later; the bound does not depend on them.
	PeerWait, PeerTimeout time.Duration

	// RetryMin and RetryMax bound the delay after a failed poll to the
	// platform. It doubles, except at roots, and is drawn between half of it
	// and all of it. Lower values recover sooner, higher ones reduce the load
	// on a failing platform.
	RetryMin, RetryMax time.Duration

	// MaxRetryRate bounds the polls per second that all nodes of a region send
	// during an outage: where RetryMax allows more, the delay is longer.
	// Default 100. A lower value reduces the load on the platform, and delays
	// the recovery of nodes whose roots fail at the end of an outage.
	MaxRetryRate int

	// RootDelay is the time after its start during which a node does not become a
	// root, as it may not know the other nodes yet. It must be less than StaleAfter
	// by more than PollWait, or all nodes that start together poll a second time.
	RootDelay time.Duration

	// MinPollInterval is the minimum time between the starts of two polls to the
	// platform. A higher value batches more changes into one reply.
	MinPollInterval time.Duration

	// MaxWaiters bounds the polls of children held at a node. Default 256.
	MaxWaiters int
}

// minSlack is the minimum time in addition to PollWait that the platform has to
// respond.
const minSlack = 500 * time.Millisecond

// ConfigFor returns the parameters with which a version is in force on every
// node within bound of its acceptance. StaleAfter leaves enough of the bound for a
// poll to the platform and a late tick of the control goroutine.
func ConfigFor(bound time.Duration) Config {
	wait := bound / 3
	return Config{
		Roots: 3, Fanout: 32,
		PollWait: wait, PollTimeout: wait + max(bound/4, minSlack),
		StaleAfter: bound * 3 / 5,
		PeerWait:   bound * 2 / 3, PeerTimeout: bound,
		RetryMin: bound / 4, RetryMax: bound / 2, MaxRetryRate: 100,
		RootDelay:       bound / 5,
		MinPollInterval: 100 * time.Millisecond,
		MaxWaiters:      256,
	}
}
