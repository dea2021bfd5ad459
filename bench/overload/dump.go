package overload

import (
	"context"
	"encoding/json"
	"io"
	"sync"
	"time"

	"peardrift/bench/harness"
	"peardrift/bench/standin/client"
	"peardrift/internal/node"
)

// Dump records, as lines of JSON, each client attempt and each node's gate state ten
// times a second, to diagnose why a run differs from the replay. It is safe for
// concurrent use; a nil Dump records nothing.
type Dump struct {
	mu  sync.Mutex
	enc *json.Encoder
}

// NewDump returns a Dump that writes to w.
func NewDump(w io.Writer) *Dump { return &Dump{enc: json.NewEncoder(w)} }

// Line is one line of a Dump, for an attempt or a gate state. Times are in ms; T is
// relative to the start of the trace.
type Line struct {
	T         int64         `json:"t"`
	Class     string        `json:"class,omitempty"`
	Mark      string        `json:"mark,omitempty"`
	Try       int           `json:"try,omitempty"`
	LatencyMS int64         `json:"took,omitempty"`
	Result    client.Result `json:"result,omitempty"`
	Code      string        `json:"code,omitempty"`
	Err       string        `json:"err,omitempty"`
	Node      string        `json:"node,omitempty"`
	Gate      *node.Gate    `json:"gate,omitempty"`
}

func (d *Dump) write(l Line) {
	if d == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	_ = d.enc.Encode(l) // best effort: the dump is diagnostic only
}

func (d *Dump) recordAttempt(start time.Time, a client.Attempt) {
	l := Line{T: a.At.Sub(start).Milliseconds(), Class: a.Class, Mark: a.RequestMark, Try: a.N, LatencyMS: a.Latency.Milliseconds(), Result: a.Result, Code: a.Code}
	if a.Err != nil {
		l.Err = a.Err.Error()
	}
	d.write(l)
}

const dumpPeriod = 100 * time.Millisecond

// recordGates records the state of the nodes' gates every dumpPeriod until ctx ends.
func (d *Dump) recordGates(ctx context.Context, start time.Time, hosts []*harness.Host) {
	if d == nil {
		return
	}
	ticker := time.NewTicker(dumpPeriod)
	defer ticker.Stop()
	for {
		for _, h := range hosts {
			if s, err := h.Status(); err == nil {
				d.write(Line{T: time.Since(start).Milliseconds(), Node: h.Name, Gate: &s.Gate})
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
