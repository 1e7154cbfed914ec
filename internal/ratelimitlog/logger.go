// Package ratelimitlog logs protocol violations of peers at a bounded rate, so that they cannot fill the log.
package ratelimitlog

import (
	"fmt"
	"log/slog"
	"sync"
	"time"
)

// Logger counts violations by kind. It logs at most one line of each kind per interval, with the count since the line
// before. It is safe for concurrent use.
type Logger struct {
	interval time.Duration

	mu    sync.Mutex              // guards kinds
	kinds map[string]*kindCounter // by kind
}

// kindCounter counts the violations of one kind.
type kindCounter struct {
	count    int       // since the last line
	loggedAt time.Time // of the last line; zero: none yet
}

// New returns a logger with this interval between two lines of a kind.
func New(interval time.Duration) *Logger {
	return &Logger{interval: interval, kinds: map[string]*kindCounter{}}
}

// Warn counts a violation, and logs it with the error, which may be nil, if a line of its kind is due. There have to be
// few kinds, never chosen by a peer, as they stay in memory.
func (l *Logger) Warn(kind string, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	counter := l.kinds[kind]
	if counter == nil {
		counter = &kindCounter{}
		l.kinds[kind] = counter
	}
	counter.count++
	if now := time.Now(); now.Sub(counter.loggedAt) >= l.interval {
		slog.Warn("protocol_error", "kind", kind, "count", counter.count, "error", fmt.Sprint(err))
		counter.count = 0
		counter.loggedAt = now
	}
}
