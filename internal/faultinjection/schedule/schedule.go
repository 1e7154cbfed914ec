// Package schedule says which faults are injected when in a trial: read from a file, drawn from a seed, written, and
// made smaller. It does no I/O and reads no clock; all times are spans since the trial began.
package schedule

import (
	"fmt"
	"strings"
	"time"
)

// Bounds of a schedule.
const (
	MaxHosts    = 15
	MaxBackends = 400
	maxSpan     = time.Hour
)

// Schedule is the course of one trial.
type Schedule struct {
	Name          string
	Seed          uint64 // of the load
	Hosts         int
	Backends      int
	Span          time.Duration // of faults; a trial goes on until all effects of them are over
	Load          float64       // as a part of the backends' capacity
	Skew          int           // parts per million by which lease clocks run slower or faster at the most, host by host
	RollingUpdate time.Duration // when a rolling update over all hosts begins; 0: none
	Faults        []Fault       // by At
	ColdStart     *ColdStart    // all backends are started as the trial begins; nil: they serve by then
}

// String is the schedule's file, which Read reads.
func (s *Schedule) String() string {
	var b strings.Builder
	fmt.Fprintf(
		&b,
		"(trial %s (seed %d) (hosts %d) (backends %d) (span %v) (load %v) (skew %d)",
		s.Name,
		s.Seed,
		s.Hosts,
		s.Backends,
		s.Span,
		s.Load,
		s.Skew,
	)
	if s.RollingUpdate > 0 {
		fmt.Fprintf(&b, " (wave %v)", s.RollingUpdate)
	}
	if s.ColdStart != nil {
		s.ColdStart.write(&b)
	}
	for _, f := range s.Faults {
		fmt.Fprintf(&b, "\n  %v", f)
	}
	return b.String() + ")\n"
}
