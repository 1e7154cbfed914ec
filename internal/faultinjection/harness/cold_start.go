package harness

import (
	"context"
	"time"

	"milletbarrow/internal/faultinjection/checker"
	"milletbarrow/internal/faultinjection/coldstart"
	"milletbarrow/internal/limits"
)

// startBackends begins the phases of the endpoint registry and starts all backends, at once or by a cold start. It does
// not wait until they are ready, as the trial's faults may delay that.
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

// recordRegistryCalls stores what the endpoint registry observed before the backends are stopped.
func (harness *Harness) recordRegistryCalls() {
	harness.endedAt = time.Now()
	harness.observed = harness.registry.Observed()
}

// checkColdStart checks the calls that the endpoint registry received against the schedule's bounds, and the draw logs
// for the number of backends that were starting at the same time.
func (harness *Harness) checkColdStart(v *Verdict, all []*checker.Process) {
	c := harness.options.Schedule.ColdStart
	reportInterval := limits.For(1, 192, 1024).ReportInterval // limits of the trial's backends
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
		v.fail("endpoint registry: %s", reason)
	}
	// A backend holds its start permit from before its process starts until it has been ready for the settle time.
	f.Starting = checker.MaxConcurrentStarts(all, harness.options.SettleTime.Microseconds())
	if c.MaxConcurrent > 0 && f.Starting > c.MaxConcurrent {
		v.fail("%d backends were starting at once, the limit is %d", f.Starting, c.MaxConcurrent)
	}
}
