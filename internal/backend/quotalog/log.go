// Package quotalog records what a holder of quotas has and uses, a line each, for an auditor to read. It is off unless asked
// for. Times are of the machine's clock, in microseconds, even if the holder's own clock is made to run faster.
package quotalog

import (
	"bufio"
	"fmt"
	"io"

	"milletbarrow/internal/backend/quota"
	"milletbarrow/monotime"
)

// Log writes the records of one process. Not safe for concurrent use.
type Log struct {
	out    *bufio.Writer
	since  monotime.Micros
	logged []int64 // by budget: the units drawn that are recorded
}

// New writes to w; every call ends with a complete line there. The first line is "clock TIME PPM": how much faster the
// holder's own clock runs. If it can't be written, the next record returns the error.
func New(w io.Writer, at monotime.Micros, ppm int) *Log {
	l := &Log{out: bufio.NewWriter(w), since: at}
	fmt.Fprintf(l.out, "clock %d %d\n", at, ppm)
	_ = l.out.Flush() // a bufio.Writer keeps its error
	return l
}

// RecordHeld records the grants in force: "have TIME BUDGET EPOCH FLOOR EXTRA LEFT", LEFT being how long the extra lasts
// on the holder's own clock, now.
func (l *Log) RecordHeld(at, now monotime.Micros, budgets []quota.Status) error {
	for _, b := range budgets {
		fmt.Fprintf(l.out, "have %d %s %d %d %d %d\n", at, b.Budget, b.Epoch, b.Floor, b.Extra, max(0, b.Until-now))
	}
	return l.out.Flush()
}

// RecordDrawn records the units acquired since the last time: "drew FROM TO BUDGET UNITS"; if there are none, "here TIME".
func (l *Log) RecordDrawn(at monotime.Micros, budgets []quota.Status) error {
	if len(l.logged) < len(budgets) {
		l.logged = append(l.logged, make([]int64, len(budgets)-len(l.logged))...)
	}
	drawn := false
	for i, b := range budgets {
		if n := b.Drawn - l.logged[i]; n > 0 {
			fmt.Fprintf(l.out, "drew %d %d %s %d\n", l.since, at, b.Budget, n)
			l.logged[i], drawn = b.Drawn, true
		}
	}
	if !drawn {
		fmt.Fprintf(l.out, "here %d\n", at)
	}
	l.since = at
	return l.out.Flush()
}
