package dataplane

import (
	"io"
	"sync/atomic"
	"time"
)

// abandonTimer closes the connection of a call that its caller has given up.
//
// When the connection between two nodes stalls in the middle of an upload or a large
// answer, the calling node closes its end, and this node may never see the close. Such
// calls would hold the target's slots until their deadlines. A calling node that still
// waits keeps probing for a silent call, also while its own caller pauses; one that
// has given up or died does not.
type abandonTimer struct {
	timeout   time.Duration
	conn      io.Closer
	timer     *time.Timer
	lastProbe atomic.Int64 // time of the calling node's last probe
}

// armAbandon lets the call's connection be closed while the call waits for it. Call it
// before the first wait of a stream.
func (h *nodeCall) armAbandon(conn io.Closer, timeout time.Duration) {
	if h.abandon.timer != nil {
		return
	}
	h.abandon.conn, h.abandon.timeout = conn, timeout
	h.abandon.timer = time.AfterFunc(timeout, h.closeIfAbandoned)
}

// closeIfAbandoned closes the connection if the call has waited for it, without a
// probe from the calling node, for longer than the timeout.
func (h *nodeCall) closeIfAbandoned() {
	since := h.blockedSince.Load()
	if since == 0 {
		return
	}
	last := time.Duration(max(since, h.abandon.lastProbe.Load()))
	if left := h.abandon.timeout - (h.now() - last); left > 0 {
		h.abandon.timer.Reset(left)
		return
	}
	_ = h.abandon.conn.Close()
}
