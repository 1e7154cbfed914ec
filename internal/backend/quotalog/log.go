// Package quotalog writes down what a holder of shares has and draws, a line each, for an auditor to read. It is off
// unless asked for. Times are of the machine's clock as it is, also where the holder's own was made to run apart.
package quotalog

import (
	"bufio"
	"fmt"
	"io"

	"milletbarrow/internal/backend/quota"
)

// Log is what a process writes. Not safe for use by several goroutines.
type Log struct {
	out    *bufio.Writer
	since  int64
	logged []int64 // by budget, when it was last written down
}

// New writes to w; every call ends with a whole line there. The first line is "clock TIME PPM": how much faster the
// holder's own clock was made to run.
func New(w io.Writer, at int64, ppm int) *Log {
	s := &Log{out: bufio.NewWriter(w), since: at}
	fmt.Fprintf(s.out, "clock %d %d\n", at, ppm)
	s.out.Flush()
	return s
}

// RecordHeld writes down what is held now: "have TIME BUDGET EPOCH FLOOR EXTRA LEFT", LEFT being how long the extra lasts on
// the holder's own clock.
func (s *Log) RecordHeld(at int64, now quota.Micros, all []quota.Status) error {
	for _, v := range all {
		fmt.Fprintf(s.out, "have %d %s %d %d %d %d\n", at, v.Budget, v.Epoch, v.Floor, v.Extra, max(0, v.Until-now))
	}
	return s.out.Flush()
}

// RecordDrawn writes down what was drawn since the last time: "drew FROM TO BUDGET UNITS"; without any, "here TIME".
func (s *Log) RecordDrawn(at int64, all []quota.Status) error {
	if len(s.logged) < len(all) {
		s.logged = append(s.logged, make([]int64, len(all)-len(s.logged))...)
	}
	any := false
	for i, v := range all {
		if n := v.Drawn - s.logged[i]; n > 0 {
			fmt.Fprintf(s.out, "drew %d %d %s %d\n", s.since, at, v.Budget, n)
			s.logged[i], any = v.Drawn, true
		}
	}
	if !any {
		fmt.Fprintf(s.out, "here %d\n", at)
	}
	s.since = at
	return s.out.Flush()
}
