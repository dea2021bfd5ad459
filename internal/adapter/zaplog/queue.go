package zaplog

import (
	"io"
	"sync/atomic"
	"time"

	"go.uber.org/zap/buffer"

	"peardrift/internal/status"
)

const (
	queueCapacity = 512      // lines waiting for the output
	maxLineBytes  = 16 << 10 // bytes; so the queue holds at most 8 MiB
	// flushTimeout limits the wait for an output that may be blocked.
	flushTimeout = time.Second
)

// queue writes lines from a dedicated goroutine. If the reader of standard error
// stops reading, the pipe fills and a write blocks forever; on a goroutine that
// serves traffic, all calls would hang at their next line while the node looks
// alive. The queue drops and counts lines instead.
type queue struct {
	w       io.Writer
	items   chan item
	done    chan struct{} // closed by Close
	stopped chan struct{} // closed after the last write
	onDrop  func()        // set before the first line
	dropped atomic.Uint64 // lines dropped since the start
}

// item is a line or, if line is nil, a flush request: flushed is closed once all
// items before it are written.
type item struct {
	line    *buffer.Buffer
	flushed chan struct{}
}

var linePool = buffer.NewPool()

func newQueue(w io.Writer) *queue {
	q := &queue{w: w, items: make(chan item, queueCapacity), done: make(chan struct{}), stopped: make(chan struct{})}
	go q.run()
	return q
}

func (q *queue) run() {
	defer close(q.stopped)
	for {
		select {
		case i := <-q.items:
			q.process(i)
		case <-q.done:
			return
		}
	}
}

func (q *queue) process(i item) {
	if i.line == nil {
		close(i.flushed)
		return
	}
	if _, err := q.w.Write(i.line.Bytes()); err != nil {
		q.drop()
	}
	i.line.Free()
}

// Write implements zapcore.WriteSyncer; it never blocks and never fails.
func (q *queue) Write(p []byte) (int, error) {
	if len(p) > maxLineBytes {
		q.drop()
		return len(p), nil
	}
	line := linePool.Get()
	_, _ = line.Write(p)
	select {
	case q.items <- item{line: line}:
	default:
		line.Free()
		q.drop()
	}
	return len(p), nil
}

// Sync implements zapcore.WriteSyncer: it waits up to flushTimeout for earlier
// lines to be written.
func (q *queue) Sync() error {
	timeout := time.NewTimer(flushTimeout)
	defer timeout.Stop()
	flush := item{flushed: make(chan struct{})}
	select {
	case q.items <- flush:
	case <-timeout.C:
		return status.New(status.CodeInternal, "the log output is blocked")
	}
	select {
	case <-flush.flushed:
		return nil
	case <-timeout.C:
		return status.New(status.CodeInternal, "the log output is blocked")
	}
}

// Close writes the queued lines, within flushTimeout, and stops the goroutine.
// Nothing is written after it returns without error. Call it only once.
func (q *queue) Close() error {
	err := q.Sync()
	close(q.done)
	if err == nil {
		<-q.stopped // the output isn't blocked, so this is brief
	}
	return err
}

func (q *queue) drop() {
	q.dropped.Add(1)
	q.onDrop()
}
