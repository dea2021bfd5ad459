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

// Dump takes, as lines of JSON, each attempt of the clients' and each node's
// gate ten times a second: to find out why a run differs from the replay. It is
// safe for concurrent use; nil takes nothing.
type Dump struct {
	mu  sync.Mutex
	enc *json.Encoder
}

// NewDump returns a Dump that writes to w.
func NewDump(w io.Writer) *Dump { return &Dump{enc: json.NewEncoder(w)} }

// Line is one line of a Dump, of an attempt or of a gate. Times are in ms, T
// since the start of the trace.
type Line struct {
	T      int64         `json:"t"`
	Class  string        `json:"class,omitempty"`
	Mark   string        `json:"mark,omitempty"`
	Try    int           `json:"try,omitempty"`
	Took   int64         `json:"took,omitempty"`
	Result client.Result `json:"result,omitempty"`
	Code   string        `json:"code,omitempty"`
	Err    string        `json:"err,omitempty"`
	Node   string        `json:"node,omitempty"`
	Gate   *node.Gate    `json:"gate,omitempty"`
}

func (d *Dump) put(l Line) {
	if d == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	_ = d.enc.Encode(l) // a diagnostic: what can't be written is missing
}

func (d *Dump) attempt(start time.Time, a client.Attempt) {
	l := Line{T: a.At.Sub(start).Milliseconds(), Class: a.Class, Mark: a.Mark, Try: a.N, Took: a.Took.Milliseconds(), Result: a.Result, Code: a.Code}
	if a.Err != nil {
		l.Err = a.Err.Error()
	}
	d.put(l)
}

const dumpPeriod = 100 * time.Millisecond

// gates notes the nodes' gates until ctx ends.
func (d *Dump) gates(ctx context.Context, start time.Time, hosts []*harness.Host) {
	if d == nil {
		return
	}
	tick := time.NewTicker(dumpPeriod)
	defer tick.Stop()
	for {
		for _, h := range hosts {
			if s, err := h.Status(); err == nil {
				d.put(Line{T: time.Since(start).Milliseconds(), Node: h.Name, Gate: &s.Gate})
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}
