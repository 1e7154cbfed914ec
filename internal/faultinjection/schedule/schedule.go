// Package schedule defines the faults of a fault-injection trial and their times. A schedule is read from a file or
// drawn from a seed; it can be written, and shrunk to fewer faults. The package does no I/O and reads no clock; all
// times are durations since the trial began.
//
// Invariants:
//   - A schedule that is written and read again is the same (TestRandomRoundTrip).
//   - Faults are sorted by time (TestReadSortsFaultsAndSetsDefaults, TestRandomLimitsTimesAndBlackouts).
//   - Each fault has the targets of its kind, within the trial's hosts and backends (TestReadChecksTargets).
//   - A seed draws the same schedule in every release (TestSeedsDrawSameScheduleAsEarlierRelease).
package schedule

import (
	"fmt"
	"strings"
	"time"
)

// Limits of a schedule.
const (
	MaxHosts    int           = 15
	MaxBackends int           = 400
	maxSpan     time.Duration = time.Hour
)

// Schedule describes one trial.
type Schedule struct {
	Name          string
	Seed          uint64        // of the load
	Hosts         int           // number of hosts, named h1, h2 and so on
	Backends      int           // number of backends, named n1, n2 and so on
	Span          time.Duration // of the faults; the trial ends once their effects are over
	Load          float64       // fraction of the backends' capacity
	Skew          int           // largest skew of the hosts' lease clocks, parts per million; 0: none
	RollingUpdate time.Duration // start of a rolling update over all hosts; 0: none
	Faults        []Fault       // sorted by At
	ColdStart     *ColdStart    // a cold start as the trial begins; nil: the backends already serve
}

// String returns the content of the schedule's file, which Read reads.
func (s *Schedule) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "(trial %s (seed %d) (hosts %d) (backends %d) (span %v) (load %v) (skew %d)",
		s.Name, s.Seed, s.Hosts, s.Backends, s.Span, s.Load, s.Skew)
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
