package logging

import (
	"bytes"
	"io"
	"log/slog"
	"sync"

	"milletbarrow/internal/limits"
)

// lineQueue queues lines for the goroutine that writes them.
//
// Invariant: each line is either written or counted as dropped, once (TestLinesAreDroppedAndCountedIfLogBlocks).
type lineQueue struct {
	format  Format
	lines   chan []byte
	closing chan struct{} // closed by end: no more lines follow
	written chan struct{} // closed once all queued lines are written

	mu      sync.Mutex // guards dropped
	dropped int        // lines, since the last log_dropped
}

// newLineQueue returns an empty queue. The caller starts run.
func newLineQueue(format Format) *lineQueue {
	return &lineQueue{
		format:  format,
		lines:   make(chan []byte, limits.LogLines),
		closing: make(chan struct{}),
		written: make(chan struct{}),
	}
}

// Write queues a copy of the line, as handlers reuse their buffers, or counts it as dropped. It never blocks.
func (q *lineQueue) Write(line []byte) (int, error) {
	select {
	case q.lines <- bytes.Clone(line):
	default:
		q.mu.Lock()
		q.dropped++
		q.mu.Unlock()
	}
	return len(line), nil
}

// run writes lines until the queue is closing, and then those still queued.
func (q *lineQueue) run(w io.Writer) {
	defer close(q.written)
	for {
		select {
		case line := <-q.lines:
			q.writeLine(w, line)
		case <-q.closing:
			q.writeQueued(w)
			return
		}
	}
}

// writeQueued writes the lines in the queue, and the count of dropped lines.
func (q *lineQueue) writeQueued(w io.Writer) {
	for {
		select {
		case line := <-q.lines:
			q.writeLine(w, line)
		default:
			q.writeDropped(w)
			return
		}
	}
}

// writeLine writes one line, and the count of dropped lines once the queue is empty.
func (q *lineQueue) writeLine(w io.Writer, line []byte) {
	_, _ = w.Write(line)
	if len(q.lines) == 0 {
		q.writeDropped(w)
	}
}

// writeDropped writes the count of lines that were dropped since the last count, if there are any.
func (q *lineQueue) writeDropped(w io.Writer) {
	q.mu.Lock()
	dropped := q.dropped
	q.dropped = 0
	q.mu.Unlock()
	if dropped > 0 {
		slog.New(Handler(w, q.format)).Warn("log_dropped", "count", dropped)
	}
}
