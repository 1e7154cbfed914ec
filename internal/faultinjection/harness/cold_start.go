package harness

import (
	"context"
	"time"

	"milletbarrow/internal/faultinjection/checker"
	"milletbarrow/internal/faultinjection/coldstart"
	"milletbarrow/internal/limits"
)

// startBackends has the endpoint registry begin its phases and starts all backends at once, or by a cold start, without
// waiting for them: what keeps some from being ready is part of the trial.
func (harness *Harness) startBackends(ctx context.Context, v *Verdict) {
	harness.registry.Begin()
	harness.startedAt = time.Now()
	command := "start"
	if harness.options.Schedule.ColdStart.MaxConcurrent > 0 {
		command = "rise"
	}
	if _, err := harness.Tool(
		ctx,
		command,
		"--all",
		"--quiet",
		"--wait=false",
		"--id",
		"cold",
		"--within",
		"10m",
	); err != nil {
		v.fail("%s: %v", command, err)
	}
}

// endColdStart takes down what the endpoint registry observed, before all are stopped.
func (harness *Harness) endColdStart() {
	harness.endedAt = time.Now()
	harness.observed = harness.registry.Observed()
}

// judgeColdStart works out what the endpoint registry saw, and from the draw logs how many were starting at once.
func (harness *Harness) judgeColdStart(v *Verdict, all []*checker.Process) {
	c := harness.options.Schedule.ColdStart
	reportInterval := limits.For(1, 192, 1024).ReportInterval // the bounds of the trial's backends
	f := coldstart.Measure(
		harness.observed.Calls,
		&c.RegistryBehavior,
		len(harness.site.Names),
		reportInterval,
		harness.endedAt.Sub(harness.startedAt),
	)
	f.Connections, f.Collapses = harness.observed.MaxConnections, harness.observed.Collapses
	v.ColdStart = &f
	for _, reason := range f.Violations(c.Bounds) {
		v.fail("register: %s", reason)
	}
	// One holds its permit from before its process begins until it has been ready for a while.
	f.Starting = checker.MaxConcurrentStarts(all, harness.options.SettleTime.Microseconds())
	if c.MaxConcurrent > 0 && f.Starting > c.MaxConcurrent {
		v.fail("%d backends were starting at once, %d may be", f.Starting, c.MaxConcurrent)
	}
}
