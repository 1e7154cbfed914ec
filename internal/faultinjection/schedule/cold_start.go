package schedule

import (
	"fmt"
	"strings"
	"time"

	"milletbarrow/internal/faultinjection/coldstart"
	"milletbarrow/internal/sexpr"
)

// ColdStart is the beginning of a trial in which all backends are started at once.
type ColdStart struct {
	coldstart.Register
	coldstart.Bounds
	Fixed bool // backends report without chance or growing pauses, as a baseline
	Rise  int  // so many may start at once over all hosts, by a rise; 0: all are asked for at once
}

func readCold(f *sexpr.Form) *ColdStart {
	c := &ColdStart{Register: coldstart.Register{Crowd: f.Int("crowd", 0, 100_000, 0), Needs: f.Span("needs", 0, longest, 5*time.Second)}}
	c.Rise = f.Int("rise", 0, 100_000, 0)
	c.Fixed = f.OneOf("reports", "paced", "fixed") == "fixed"
	last := time.Duration(-1)
	for _, sub := range f.All("phase") {
		p := coldstart.Phase{From: sub.Span("from", 0, longest, 0), Takes: sub.Span("takes", 0, time.Minute, 0), Advice: sub.Span("advice", 0, longest, 0)}
		p.Mode = coldstart.Mode(sub.OneOf("is", coldstart.Modes()...))
		if p.From <= last {
			sub.Fail("from", "%v is not after the phase before", p.From)
		}
		last = p.From
		sub.Done()
		c.Phases = append(c.Phases, p)
	}
	if sub := f.Field("bounds"); sub != nil {
		c.Bounds = coldstart.Bounds{
			Refusing: sub.Share("refusing", 0, 100, 0), First: sub.Share("first", 0, 100, 0), Peak: sub.Share("peak", 0, 100, 0),
			Conns: sub.Int("connections", 0, 1000, 0), Most: sub.Span("listed", 0, longest, 0).Seconds(),
		}
		sub.Done()
	}
	f.Done()
	return c
}

func (c *ColdStart) write(b *strings.Builder) {
	reports := "paced"
	if c.Fixed {
		reports = "fixed"
	}
	fmt.Fprintf(b, "\n  (cold (reports %s) (rise %d) (crowd %d) (needs %v)", reports, c.Rise, c.Crowd, c.Needs)
	for _, p := range c.Phases {
		fmt.Fprintf(b, "\n    (phase (from %v) (is %s) (takes %v) (advice %v))", p.From, p.Mode, p.Takes, p.Advice)
	}
	fmt.Fprintf(b, "\n    (bounds (refusing %g) (first %g) (peak %g) (connections %d) (listed %v)))",
		c.Refusing, c.First, c.Peak, c.Conns, time.Duration(c.Most*float64(time.Second)))
}
