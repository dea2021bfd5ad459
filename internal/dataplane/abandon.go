package dataplane

import (
	"io"
	"sync/atomic"
	"time"
)

// abandonment closes the connection of a call that nobody asks for any more.
//
// Symptom otherwise: a target's slots fill up with calls whose callers were told
// long ago that they are lost, until their deadlines. Events: the connection
// between two nodes loses track in the middle of an upload or a large answer; the
// calling node finds out and closes its end, of which this one never hears.
// A calling node that still waits asks for a silent call again and again, also
// while its own caller pauses; one that has given up, or is gone, doesn't.
type abandonment struct {
	after time.Duration
	conn  io.Closer
	timer *time.Timer
	asked atomic.Int64 // when the calling node asked last
}

// abandonable lets the call's connection be closed while it is waited for.
// Called before the first wait of a stream.
func (h *handled) abandonable(conn io.Closer, after time.Duration) {
	if h.abandon.timer != nil {
		return
	}
	h.abandon.conn, h.abandon.after = conn, after
	h.abandon.timer = time.AfterFunc(after, h.check)
}

// check closes the connection if it was waited for, and not asked for, for too
// long.
func (h *handled) check() {
	since := h.since.Load()
	if since == 0 {
		return
	}
	last := time.Duration(max(since, h.abandon.asked.Load()))
	if left := h.abandon.after - (h.now() - last); left > 0 {
		h.abandon.timer.Reset(left)
		return
	}
	_ = h.abandon.conn.Close()
}
