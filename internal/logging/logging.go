// Package logging sets up the log of all programs: one line per event, as key=value text or JSON. Logging never blocks:
// lines are queued for a writing goroutine, and are dropped and counted while the bounded queue is full.
package logging

import (
	"fmt"
	"io"
	"log/slog"
	"time"

	"milletbarrow/internal/limits"
)

// Format is the format of lines.
type Format string

// Formats of the log.
const (
	Text Format = "text" // key=value, with quoted values if needed
	JSON Format = "json" // one object per line, with the same keys
)

// ParseFormat parses the value of a flag.
func ParseFormat(s string) (Format, error) {
	switch format := Format(s); format {
	case Text, JSON:
		return format, nil
	}
	return "", fmt.Errorf("log format: found %q, wanted %s or %s", s, Text, JSON)
}

// Handler returns a handler that writes each event to w in one Write, beginning with its time in UTC and its name. It
// omits the level, which the name implies. Errors of w are ignored.
func Handler(w io.Writer, format Format) slog.Handler {
	options := &slog.HandlerOptions{ReplaceAttr: replaceAttr}
	if format == JSON {
		return slog.NewJSONHandler(w, options)
	}
	return slog.NewTextHandler(w, options)
}

// replaceAttr drops the level of a record, names its message "event" and converts its time to UTC. A field
// whose name is that of the level or the time is not changed.
func replaceAttr(groups []string, a slog.Attr) slog.Attr {
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
}

// Start sends the program's log to w, through a queue of limits.LogLines. While w blocks, further lines are dropped and
// counted; the event log_dropped has their count once the queue is empty. end writes the queued lines, within
// limits.LogFlushTimeout. It must be called once, at the end of the program: later lines are lost.
func Start(w io.Writer, format Format) (end func()) {
	q := newLineQueue(format)
	slog.SetDefault(slog.New(Handler(q, format)))
	go q.run(w)
	return func() {
		close(q.closing)
		select {
		case <-q.written:
		case <-time.After(limits.LogFlushTimeout):
		}
	}
}
