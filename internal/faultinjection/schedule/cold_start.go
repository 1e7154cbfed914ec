package schedule

import (
	"fmt"
	"strings"
	"time"

	"milletbarrow/internal/faultinjection/coldstart"
	"milletbarrow/internal/sexpr"
)

// ColdStart describes a trial that begins with the start of all backends.
type ColdStart struct {
	coldstart.RegistryBehavior
	coldstart.Bounds
	FixedReports  bool // whether backends report without jitter or backoff, as a baseline
	MaxConcurrent int  // backends on all hosts that may start at the same time; 0: all
}

// Values of the field reports of a cold start.
const (
	pacedReports string = "paced"
	fixedReports string = "fixed"
)

const (
	maxOpenCalls        int           = 100_000
	maxConcurrentStarts int           = 100_000
	defaultRecoveryTime time.Duration = 5 * time.Second
	maxResponseTime     time.Duration = time.Minute
	maxRatio            float64       = 100  // of call rates
	maxConnections      int           = 1000 // per backend
)

// readColdStart reads the form cold.
func readColdStart(f *sexpr.Form) *ColdStart {
	c := &ColdStart{
		RegistryBehavior: coldstart.RegistryBehavior{
			MaxOpenCalls: f.Int("crowd", 0, maxOpenCalls, 0),
			RecoveryTime: f.Span("needs", 0, maxSpan, defaultRecoveryTime),
		},
		MaxConcurrent: f.Int("rise", 0, maxConcurrentStarts, 0),
		FixedReports:  f.OneOf("reports", pacedReports, fixedReports) == fixedReports,
	}
	c.Phases = readPhases(f)
	if sub := f.Field("bounds"); sub != nil {
		c.Bounds = readBounds(sub)
	}
	f.Done()
	return c
}

// readPhases reads the registry's phases, which must be sorted by their start.
func readPhases(f *sexpr.Form) (phases []coldstart.Phase) {
	previous := time.Duration(-1)
	for _, sub := range f.All("phase") {
		p := coldstart.Phase{
			From:         sub.Span("from", 0, maxSpan, 0),
			ResponseTime: sub.Span("takes", 0, maxResponseTime, 0),
			RetryAfter:   sub.Span("advice", 0, maxSpan, 0),
			Mode:         coldstart.Mode(sub.OneOf("is", coldstart.Modes()...)),
		}
		if p.From <= previous {
			sub.Fail("from", "%v is not after the previous phase's start", p.From)
		}
		previous = p.From
		sub.Done()
		phases = append(phases, p)
	}
	return phases
}

// readBounds reads the bounds of a cold start's figures.
func readBounds(f *sexpr.Form) coldstart.Bounds {
	b := coldstart.Bounds{
		RefusingRatio:         f.Share("refusing", 0, maxRatio, 0),
		FirstPeak:             f.Share("first", 0, maxRatio, 0),
		Peak:                  f.Share("peak", 0, maxRatio, 0),
		ConnectionsPerBackend: f.Int("connections", 0, maxConnections, 0),
		MostListed:            f.Span("listed", 0, maxSpan, 0).Seconds(),
	}
	f.Done()
	return b
}

// write appends the cold start's form in a schedule's file.
func (c *ColdStart) write(b *strings.Builder) {
	reports := pacedReports
	if c.FixedReports {
		reports = fixedReports
	}
	fmt.Fprintf(b, "\n  (cold (reports %s) (rise %d) (crowd %d) (needs %v)",
		reports, c.MaxConcurrent, c.MaxOpenCalls, c.RecoveryTime)
	for _, p := range c.Phases {
		fmt.Fprintf(b, "\n    (phase (from %v) (is %s) (takes %v) (advice %v))",
			p.From, p.Mode, p.ResponseTime, p.RetryAfter)
	}
	fmt.Fprintf(b, "\n    (bounds (refusing %g) (first %g) (peak %g) (connections %d) (listed %v)))",
		c.RefusingRatio, c.FirstPeak, c.Peak, c.ConnectionsPerBackend, time.Duration(c.MostListed*float64(time.Second)))
}
