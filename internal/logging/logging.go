// Package logging is the log of all programs: one line per event, as key=value text or JSON. Logging never blocks: lines wait in
// a bounded queue for a writer, and are dropped and counted when it is full.
package logging

import (
	"fmt"
	"io"
	"log/slog"
	"sync"
	"time"

	"milletbarrow/internal/limits"
)

// Format is the format of lines.
type Format string

// The formats.
const (
	Text Format = "text" // key=value, values quoted where they need it
	JSON Format = "json" // one object per line, the same keys
)

// ParseFormat parses the value of a flag.
func ParseFormat(s string) (Format, error) {
	switch f := Format(s); f {
	case Text, JSON:
		return f, nil
	}
	return "", fmt.Errorf("log: %q is neither text nor json", s)
}

// Handler returns a handler that writes each event to w in one Write: its time in UTC and its name first, and no level, as the
// name implies it. Errors of w are ignored.
func Handler(w io.Writer, f Format) slog.Handler {
	options := &slog.HandlerOptions{ReplaceAttr: func(groups []string, a slog.Attr) slog.Attr {
		if len(groups) > 0 {
			return a
		}
		switch a.Key {
		case slog.LevelKey:
			if _, isLevel := a.Value.Any().(slog.Level); isLevel {
				return slog.Attr{}
			}
		case slog.MessageKey:
			a.Key = "event"
		case slog.TimeKey:
			if a.Value.Kind() == slog.KindTime {
				a.Value = slog.TimeValue(a.Value.Time().UTC())
			}
		}
		return a
	}}
	if f == JSON {
		return slog.NewJSONHandler(w, options)
	}
	return slog.NewTextHandler(w, options)
}

// Start sends the program's log to w, through a queue of limits.LogLines. While w blocks, further lines are dropped and counted;
// event=log_dropped has their count once the queue is empty. end writes what is queued, for limits.LogEnd at most; call it once,
// last, as lines after it are lost.
func Start(w io.Writer, f Format) (end func()) {
	q := &queue{lines: make(chan []byte, limits.LogLines), closing: make(chan struct{}), written: make(chan struct{}), format: f}
	slog.SetDefault(slog.New(Handler(q, f)))
	go q.run(w)
	return func() {
		close(q.closing)
		select {
		case <-q.written:
		case <-time.After(limits.LogEnd):
		}
	}
}

// queue holds the lines of handlers for the goroutine that writes them.
type queue struct {
	lines   chan []byte
	closing chan struct{} // closed by end: no more lines follow
	written chan struct{} // closed once all queued lines are written
	format  Format

	mu      sync.Mutex
	dropped int
}

// Write queues a copy of the line, as handlers reuse their buffer, or counts it as dropped. It never blocks.
func (q *queue) Write(p []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), p...):
	default:
		q.mu.Lock()
		q.dropped++
		q.mu.Unlock()
	}
	return len(p), nil
}

// run writes lines until closing, and then those still queued.
func (q *queue) run(w io.Writer) {
	defer close(q.written)
	for {
		select {
		case line := <-q.lines:
			q.writeLine(w, line)
			continue
		case <-q.closing:
		}
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
}

// writeLine writes one line, and the count of dropped lines once the queue is empty.
func (q *queue) writeLine(w io.Writer, line []byte) {
	_, _ = w.Write(line)
	if len(q.lines) == 0 {
		q.writeDropped(w)
	}
}

// writeDropped writes the count of lines dropped since it was called last, if there are any.
func (q *queue) writeDropped(w io.Writer) {
	q.mu.Lock()
	n := q.dropped
	q.dropped = 0
	q.mu.Unlock()
	if n > 0 {
		slog.New(Handler(w, q.format)).Warn("log_dropped", "count", n)
	}
}
