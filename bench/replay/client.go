package replay

import (
	"encoding/binary"
	"time"

	"peardrift/bench/replay/workload"
	"peardrift/internal/core/request"
	"peardrift/internal/core/retry"
)

// Aggressive clients retry within aggressiveBackoffMax after a refusal or failure, with
// at most aggressiveAttempts attempts in all. Compliant clients wait for Retry-After, or
// about compliantBackoff without it. Both stop when the deployment's RetryWindow is over.
const (
	aggressiveAttempts   = 10
	aggressiveBackoffMin = 20 * time.Millisecond
	aggressiveBackoffMax = 100 * time.Millisecond
	compliantBackoff     = time.Second
	compliantAttempts    = 3
)

// user is a client's request with all its attempts.
type user struct {
	sim        *simulation
	class      *workload.Class
	client     int
	zone       int
	arrivedAt  time.Duration
	attempts   int
	aggressive bool
	current    *call
	timer      *event
}

// startUser sends the first attempt of a user.
func (sim *simulation) startUser(e *workload.Event) {
	u := &user{sim: sim, class: sim.deployment.Class(e.Class), client: e.Client, zone: e.Zone, arrivedAt: sim.now,
		aggressive: sim.rng.Float64() < sim.aggressiveFraction}
	sim.recorder.recordArrival(u)
	u.sendRequest()
}

// entryNode returns the node of the client's zone that the client index selects,
// skipping draining nodes. A client uses the same node each time.
func (u *user) entryNode() *node {
	zone := u.sim.zones[u.zone]
	for i := range zone {
		if n := zone[(u.client+i)%len(zone)]; !n.draining {
			return n
		}
	}
	return zone[0]
}

// sendRequest sends the request to the entry node and starts the client's timeout.
func (u *user) sendRequest() {
	sim := u.sim
	u.attempts++
	n := u.entryNode()
	sim.seq++
	seq := sim.seq
	t := &rootRequest{user: u, class: u.class}
	binary.BigEndian.PutUint64(t.id[:8], sim.rng.Uint64())
	binary.BigEndian.PutUint64(t.id[8:], seq)
	allowance := retry.NewRequestAllowance(sim.cfg.Retry.Attempts, false)
	c := &call{caller: n, spec: &u.class.Root, root: t, allowance: &allowance, entryID: seq}
	u.current = c
	c.onDone = func(r result) {
		delete(n.entryCalls, seq)
		sim.after(sim.deployment.ClientDelay, func() { u.onResponse(c, r) })
	}
	sim.after(sim.deployment.ClientDelay, func() {
		n.entryCalls[seq] = c
		t.startedAt = sim.now
		c.deadline = sim.now + sim.clientTimeout - 2*sim.deployment.ClientDelay
		c.startAttempt()
	})
	u.timer = sim.after(sim.clientTimeout, func() { u.onTimeout(c) })
}

// onTimeout abandons the attempt. With cancellation, the entry node sees the
// connection close and cancels the call.
func (u *user) onTimeout(c *call) {
	u.current = nil
	u.sim.recorder.recordFailure(u)
	if u.sim.policy.Cancel {
		u.sim.after(u.sim.deployment.ClientDelay, c.cancel)
	}
	u.retryOrGiveUp(0)
}

// onResponse handles the response to an attempt.
func (u *user) onResponse(c *call, r result) {
	if c != u.current {
		u.sim.recorder.wastedTime += r.slotTime
		return
	}
	u.current = nil
	u.timer.cancel()
	if r.outcome == request.Completed {
		u.sim.recorder.recordCompletion(u, c.root, r.slotTime)
		return
	}
	u.sim.recorder.wastedTime += r.slotTime
	if r.outcome != request.Refused {
		u.sim.recorder.recordFailure(u)
	}
	u.retryOrGiveUp(r.retryAfter)
}

// retryOrGiveUp resends the request after a backoff, or gives up.
func (u *user) retryOrGiveUp(retryAfter time.Duration) {
	wait := aggressiveBackoffMin + time.Duration(u.sim.rng.Int64N(int64(aggressiveBackoffMax-aggressiveBackoffMin)))
	maxAttempts := aggressiveAttempts
	if !u.aggressive {
		maxAttempts = compliantAttempts
		wait = compliantBackoff/2 + time.Duration(u.sim.rng.Int64N(int64(compliantBackoff)))
		if retryAfter > 0 {
			wait = retryAfter
		}
	}
	if u.attempts >= maxAttempts || u.sim.now+wait-u.arrivedAt >= u.sim.deployment.RetryWindow {
		return
	}
	u.sim.after(wait, u.sendRequest)
}
