// Package ratelimitlog logs protocol violations of peers at a limited rate, so that a peer cannot flood the log.
package ratelimitlog

import (
	"fmt"
	"log/slog"
	"sync"
	"time"
)

// Logger counts violations by kind. It logs at most one line of each kind per interval, with the count since the
// previous line. It is safe for concurrent use.
type Logger struct {
	interval time.Duration

	mu    sync.Mutex              // guards kinds
	kinds map[string]*kindCounter // by kind
}

// kindCounter counts the violations of one kind.
type kindCounter struct {
	count    int       // since the previous line
	loggedAt time.Time // time of the previous line; zero: none yet
}

// New returns a logger with the given minimum interval between two lines of a kind.
func New(interval time.Duration) *Logger {
	return &Logger{interval: interval, kinds: map[string]*kindCounter{}}
}

// Warn counts a violation, and logs it with err, which may be nil, if the interval since the previous line of its kind
// has passed. Kinds are never evicted from memory: their number must be small, and a peer must not be able to choose
// them.
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
