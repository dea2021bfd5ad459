package watch

import "time"

// Config holds the parameters of a State. All nodes should run with the same.
type Config struct {
	// Roots is how many nodes of a region ask the platform all the time. Default 3.
	// Higher survives more dead roots at once without a question of others, and
	// costs as many calls.
	Roots int

	// Fanout is how many children a node has in the mean, for each node of its
	// level. Default 32. Higher makes the tree flatter and loads its inner nodes
	// more: each child costs one call in Wait.
	Fanout int

	// Wait is how long a question waits at the platform. Lower keeps marks younger
	// and costs calls.
	Wait time.Duration

	// Limit is after how long a question to the platform is given up. It must
	// exceed Wait by the time that a slow platform takes.
	Limit time.Duration

	// Stale is the age of the mark from which a node asks the platform itself.
	// It must exceed Wait, by the time that answers take to pass down.
	Stale time.Duration

	// PeerWait is how long a node keeps a child waiting without news, PeerLimit
	// after how long a child gives up. Higher is surer of slow parents and turns
	// later from dead ones; the bound doesn't hang on it.
	PeerWait, PeerLimit time.Duration

	// RetryMin and RetryMax bound the pause after a failed question to the
	// platform. It doubles, but for roots, and is drawn between half and the
	// whole. Lower recovers sooner, higher spares a platform in trouble.
	RetryMin, RetryMax time.Duration

	// RetryRate bounds the questions a second that a region's nodes ask together
	// in an outage: where RetryMax allows more, they pause for longer. Default 100.
	// Lower spares the platform, and lets nodes whose roots fail at the end of an
	// outage take longer.
	RetryRate int

	// Settle is for how long a node that starts is no root: it may not know of the
	// others yet. Less than Stale by more than Wait, or all nodes that start
	// together ask a second time.
	Settle time.Duration

	// Spacing is the least time between the starts of two questions to the
	// platform. Higher takes several changes at once.
	Spacing time.Duration

	// MaxWaiters bounds the children that wait at a node. Default 256.
	MaxWaiters int
}

// leastSlack is the least time beyond Wait that the platform is given.
const leastSlack = 500 * time.Millisecond

// ConfigFor returns the parameters by which a version is in force everywhere within
// a bound of its acceptance. Stale leaves room in the bound for a question to the
// platform and a late tick of the control goroutine.
func ConfigFor(bound time.Duration) Config {
	wait := bound / 3
	return Config{
		Roots: 3, Fanout: 32,
		Wait: wait, Limit: wait + max(bound/4, leastSlack),
		Stale:    bound * 3 / 5,
		PeerWait: bound * 2 / 3, PeerLimit: bound,
		RetryMin: bound / 4, RetryMax: bound / 2, RetryRate: 100,
		Settle:     bound / 5,
		Spacing:    100 * time.Millisecond,
		MaxWaiters: 256,
	}
}
