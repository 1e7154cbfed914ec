// Package quotalog records the leases of a quota holder and the units acquired under them, one record per line, for an
// auditor. The log is off by default. Times are readings of the machine's clock in microseconds, even if the holder's
// own clock is configured to run faster.
package quotalog

import (
	"bufio"
	"fmt"
	"io"

	"milletbarrow/internal/backend/quota"
	"milletbarrow/monotime"
)

// Log writes the records of one process. It is not safe for concurrent use.
type Log struct {
	out    *bufio.Writer
	since  monotime.Micros // end of the period covered by the last RecordUse
	logged []int64         // by budget index: units acquired that have been recorded
}

// New returns a log that writes to w; after each call, w ends with a complete line. The first line is "clock TIME PPM",
// where PPM is how much faster the holder's own clock runs, in parts per million. If that line cannot be written, the
// next record returns the error.
func New(w io.Writer, at monotime.Micros, ppm int) *Log {
	l := &Log{out: bufio.NewWriter(w), since: at}
	l.printf("clock %d %d\n", at, ppm)
	_ = l.flush() // bufio.Writer keeps the error, so the next flush returns it
	return l
}

// RecordGrants records the grants in force: "have TIME BUDGET EPOCH FLOOR EXTRA LEFT". LEFT is the time until EXTRA
// expires, on the holder's own clock, whose time is now.
func (l *Log) RecordGrants(at, now monotime.Micros, budgets []quota.Status) error {
	for _, b := range budgets {
		l.printf("have %d %s %d %d %d %d\n", at, b.Budget, b.Epoch, b.Floor, b.Extra, max(0, b.Until-now))
	}
	return l.flush()
}

// RecordUse records the units acquired since the last call: "drew FROM TO BUDGET UNITS" for each budget, or "here TIME"
// if there are none.
func (l *Log) RecordUse(at monotime.Micros, budgets []quota.Status) error {
	if missing := len(budgets) - len(l.logged); missing > 0 {
		l.logged = append(l.logged, make([]int64, missing)...)
	}
	drawn := false
	for i, b := range budgets {
		if units := b.Drawn - l.logged[i]; units > 0 {
			l.printf("drew %d %d %s %d\n", l.since, at, b.Budget, units)
			l.logged[i] = b.Drawn
			drawn = true
		}
	}
	if !drawn {
		l.printf("here %d\n", at)
	}
	l.since = at
	return l.flush()
}

// printf appends to the buffer. The next flush returns its error.
func (l *Log) printf(format string, args ...any) { _, _ = fmt.Fprintf(l.out, format, args...) }

// flush writes the buffered lines.
func (l *Log) flush() error {
	if err := l.out.Flush(); err != nil {
		return fmt.Errorf("quota log: %w", err)
	}
	return nil
}
