// Package logging is the log of all programs: one line an event, key=value text or JSON, that never holds up who
// writes it. It owns the queue between those who log and whoever reads; it never decides what is worth a line.
package logging

import (
	"fmt"
	"io"
	"log/slog"
	"sync"
	"time"

	"milletbarrow/internal/limits"
)

// Format is how lines are written.
type Format string

// The formats.
const (
	Text Format = "text" // key=value, values quoted where they need it
	JSON Format = "json" // one object a line, the same keys
)

// ParseFormat reads the word of a flag.
func ParseFormat(s string) (Format, error) {
	switch f := Format(s); f {
	case Text, JSON:
		return f, nil
	}
	return "", fmt.Errorf("log: %q is neither text nor json", s)
}

// Handler writes each event to w as one Write: time (UTC) and event first, no level, as an event's name tells what
// it means. Write errors are nobody's concern.
func Handler(w io.Writer, f Format) slog.Handler {
	o := &slog.HandlerOptions{ReplaceAttr: func(groups []string, a slog.Attr) slog.Attr {
		if len(groups) > 0 {
			return a
		}
		switch a.Key {
		case slog.LevelKey:
			if _, own := a.Value.Any().(slog.Level); own {
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
		return slog.NewJSONHandler(w, o)
	}
	return slog.NewTextHandler(w, o)
}

// Start sends the program's log to w. Lines wait in a queue of limit.LogLines; while nobody reads w, further ones
// are dropped, counted, and told of by event=log_dropped once there is room. end writes what waits, for
// limit.LogEnd at most; call it once, last, as later lines go nowhere.
func Start(w io.Writer, f Format) (end func()) {
	q := &queue{lines: make(chan []byte, limits.LogLines), over: make(chan struct{}), gone: make(chan struct{}), format: f}
	slog.SetDefault(slog.New(Handler(q, f)))
	go q.carry(w)
	return func() {
		close(q.over)
		select {
		case <-q.gone:
		case <-time.After(limits.LogEnd):
		}
	}
}

// queue takes lines from handlers and gives them to one writer.
type queue struct {
	lines  chan []byte
	over   chan struct{} // no more lines are to come
	gone   chan struct{} // all that waited is written
	format Format

	mu      sync.Mutex
	dropped int
}

// Write keeps a copy of the line, as handlers use their buffer again, or counts it as dropped. It never waits.
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

// carry writes lines until the end, then those that still wait.
func (q *queue) carry(w io.Writer) {
	defer close(q.gone)
	for {
		select {
		case line := <-q.lines:
			q.put(w, line)
			continue
		case <-q.over:
		}
		for {
			select {
			case line := <-q.lines:
				q.put(w, line)
			default:
				q.tell(w)
				return
			}
		}
	}
}

// put writes one line, and the count of those lost before it once the queue has drained.
func (q *queue) put(w io.Writer, line []byte) {
	_, _ = w.Write(line)
	if len(q.lines) == 0 {
		q.tell(w)
	}
}

func (q *queue) tell(w io.Writer) {
	q.mu.Lock()
	n := q.dropped
	q.dropped = 0
	q.mu.Unlock()
	if n > 0 {
		slog.New(Handler(w, q.format)).Warn("log_dropped", "count", n)
	}
}
