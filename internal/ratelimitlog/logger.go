// Package ratelimitlog logs protocol violations of peers at a bounded rate, so that they cannot fill the log.
package ratelimitlog

import (
	"fmt"
	"log/slog"
	"sync"
	"time"
)

// Logger counts violations by kind, and logs at most one line of each kind per interval, with the count since the line before.
// It is safe for use by several goroutines.
type Logger struct {
	interval time.Duration
	mu       sync.Mutex
	kinds    map[string]*entry
}

// entry is the state of one kind.
type entry struct {
	count    int
	loggedAt time.Time
}

// New makes a logger with this interval between two lines of a kind.
func New(interval time.Duration) *Logger {
	return &Logger{interval: interval, kinds: map[string]*entry{}}
}

// Warn counts a violation. If a line of its kind is due, it is logged with the error, which may be nil. Kinds have to be few,
// and never chosen by a peer: they stay in memory.
func (l *Logger) Warn(kind string, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.kinds[kind]
	if e == nil {
		e = &entry{}
		l.kinds[kind] = e
	}
	e.count++
	if now := time.Now(); now.Sub(e.loggedAt) >= l.interval {
		slog.Warn("protocol_error", "kind", kind, "count", e.count, "error", fmt.Sprint(err))
		e.count, e.loggedAt = 0, now
	}
}
