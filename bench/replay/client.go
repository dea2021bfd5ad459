package replay

import (
	"encoding/binary"
	"time"

	"peardrift/bench/replay/workload"
	"peardrift/internal/core/request"
	"peardrift/internal/core/retry"
)

// Clients that retry hard come back within hardWait after a refusal or failure,
// clientTries times at most, while their user's patience lasts. The others wait
// for Retry-After, and politeWait if there is none.
const (
	clientTries = 10
	hardWaitMin = 20 * time.Millisecond
	hardWait    = 100 * time.Millisecond
	politeWait  = time.Second
	politeTries = 3
)

// user is a person who wants one answer.
type user struct {
	w      *world
	class  *workload.Class
	client int
	zone   int
	born   time.Duration
	tries  int
	hard   bool
	cur    *call
	timer  *event
}

// arrive begins the first try of a user.
func (w *world) arrive(e *workload.Event) {
	u := &user{w: w, class: w.dep.Class(e.Class), client: e.Client, zone: e.Zone, born: w.now,
		hard: w.rng.Float64() < w.hard}
	w.m.arrived(u)
	u.try()
}

// entry picks the node that a client uses: any of its zone, the same each time.
func (u *user) entry() *node {
	zone := u.w.zones[u.zone]
	for i := range zone {
		if n := zone[(u.client+i)%len(zone)]; !n.draining {
			return n
		}
	}
	return zone[0]
}

// try sends the request to the entry node and waits for the client's time-out.
func (u *user) try() {
	w := u.w
	u.tries++
	n := u.entry()
	w.seq++
	seq := w.seq
	t := &tree{user: u, class: u.class}
	binary.BigEndian.PutUint64(t.id[:8], w.rng.Uint64())
	binary.BigEndian.PutUint64(t.id[8:], seq)
	allowance := retry.NewRequestAllowance(w.retryCfg.Attempts, false)
	c := &call{n: n, spec: &u.class.Root, tree: t, allowance: &allowance, entered: seq}
	u.cur = c
	c.done = func(r result) {
		delete(n.entries, seq)
		w.after(w.dep.ClientDelay, func() { u.receive(c, r) })
	}
	w.after(w.dep.ClientDelay, func() {
		n.entries[seq] = c
		c.deadline = w.now + w.timeout - 2*w.dep.ClientDelay
		c.try()
	})
	u.timer = w.after(w.timeout, func() { u.timeout(c) })
}

// timeout gives the try up; the entry node sees the connection close.
func (u *user) timeout(c *call) {
	u.cur = nil
	u.w.m.failed(u)
	if u.w.pol.Cancel {
		u.w.after(u.w.dep.ClientDelay, c.cancel)
	}
	u.again(0)
}

// receive takes the answer of a try.
func (u *user) receive(c *call, r result) {
	if c != u.cur {
		u.w.m.useless += r.work
		return
	}
	u.cur = nil
	u.timer.cancel()
	if r.outcome == request.Completed {
		u.w.m.completed(u, c.tree, r.work)
		return
	}
	u.w.m.useless += r.work
	if r.outcome != request.Refused {
		u.w.m.failed(u)
	}
	u.again(r.retryAfter)
}

// again waits and sends the request once more, or gives up.
func (u *user) again(advice time.Duration) {
	wait := hardWaitMin + time.Duration(u.w.rng.Int64N(int64(hardWait-hardWaitMin)))
	tries := clientTries
	if !u.hard {
		tries = politeTries
		wait = politeWait/2 + time.Duration(u.w.rng.Int64N(int64(politeWait)))
		if advice > 0 {
			wait = advice
		}
	}
	if u.tries >= tries || u.w.now+wait-u.born >= u.w.dep.Patience {
		return
	}
	u.w.after(wait, u.try)
}
