package harness

import (
	"context"
	"time"

	"milletbarrow/internal/faultinjection/checker"
	"milletbarrow/internal/faultinjection/coldstart"
	"milletbarrow/internal/limits"
)

// settled is how long a backend is ready, by the trial's file, before it counts as warm.
const settled = 300 * time.Millisecond

// startCold has the endpoint registry begin its phases and asks for all backends at once, or for a rise, without waiting for them:
// what keeps some from being ready is part of the trial.
func (g *Harness) startCold(ctx context.Context, v *Verdict) {
	g.register.Begin()
	g.asked = time.Now()
	how := "start"
	if g.options.Table.ColdStart.MaxConcurrent > 0 {
		how = "rise"
	}
	if _, err := g.Tool(ctx, how, "--all", "--quiet", "--wait=false", "--id", "cold", "--within", "10m"); err != nil {
		v.fail("%s: %v", how, err)
	}
}

// endCold takes down what the endpoint registry heard, before all are stopped.
func (g *Harness) endCold() {
	g.ended = time.Now()
	calls, conns, falls := g.register.Heard()
	g.heard = func() ([]coldstart.Call, int, int) { return calls, conns, falls }
}

// judgeCold works out what the endpoint registry saw up to now, and from the stamps how many were starting at once.
func (g *Harness) judgeCold(v *Verdict, all []*checker.Process) {
	calls, conns, falls := g.heard()
	c := g.options.Table.ColdStart
	f := coldstart.Of(calls, &c.Register, len(g.site.Names), limits.For(1, 192, 1024).ReportInterval, g.ended.Sub(g.asked))
	f.Conns, f.Falls = conns, falls
	v.Cold = &f
	for _, why := range f.Breaks(c.Bounds) {
		v.fail("register: %s", why)
	}
	// One holds its unit from before its process begins until it has been ready for a while.
	f.Starting = checker.MaxConcurrentStarts(all, settled.Microseconds())
	if c.MaxConcurrent > 0 && f.Starting > c.MaxConcurrent {
		v.fail("%d backends were starting at once, %d may be", f.Starting, c.MaxConcurrent)
	}
}
