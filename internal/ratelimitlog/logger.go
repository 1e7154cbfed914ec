// Package ratelimitlog logs what peers should not have sent, without letting them fill the log.
package ratelimitlog

import (
	"fmt"
	"log/slog"
	"sync"
	"time"
)

// Logger counts odd input by kind and logs one line of a kind in a while, with how many there were since.
type Logger struct {
	quiet time.Duration
	mu    sync.Mutex
	kinds map[string]*entry
}

type entry struct {
	count  int
	logged time.Time
}

// New makes a tally that is quiet for so long between two lines of a kind.
func New(quiet time.Duration) *Logger {
	return &Logger{quiet: quiet, kinds: map[string]*entry{}}
}

// Warn counts one; the error, which may be nil, is logged with the line if there is one. Kinds are few and of
// this program's choice: they are kept for ever.
func (t *Logger) Warn(kind string, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.kinds[kind]
	if e == nil {
		e = &entry{}
		t.kinds[kind] = e
	}
	e.count++
	if now := time.Now(); now.Sub(e.logged) >= t.quiet {
		slog.Warn("protocol_error", "kind", kind, "count", e.count, "error", fmt.Sprint(err))
		e.count, e.logged = 0, now
	}
}
