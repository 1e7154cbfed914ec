package harness

import (
	"context"
	"sync"
	"time"

	"milletbarrow/internal/faultinjection/schedule"
	"milletbarrow/internal/limits"
	"milletbarrow/internal/loadgen"
)

// Time limits after the last fault.
const (
	recoveryTimeout = 45 * time.Second // for all quotas to be granted again
	loadEndTimeout  = 15 * time.Second // for callers to get their last answers; then the load is cancelled
)

// runFaults injects the faults under load, and waits until their effects are over.
func (harness *Harness) runFaults(ctx context.Context, v *Verdict) {
	loadCtx, endLoad := context.WithCancel(ctx)
	defer endLoad()
	loaded := make(chan loadResult, 1)
	go func() { loaded <- harness.runLoad(loadCtx) }()

	start := time.Now()
	var faults sync.WaitGroup
	for _, fault := range harness.options.Schedule.Faults {
		faults.Go(func() { harness.injectAt(ctx, fault, start) })
	}
	if harness.options.Schedule.RollingUpdate > 0 {
		faults.Go(func() { harness.rollingUpdate(ctx, v, start) })
	}
	faults.Wait()
	pause(ctx, harness.options.Schedule.Span-time.Since(start))

	over := time.Now()
	if err := harness.waitFor(
		ctx,
		recoveryTimeout,
		"full grant of all quotas after the last fault",
		func() bool { return harness.fullyGranted(ctx) },
	); err != nil {
		v.fail("%v: %s", err, harness.describeState(ctx))
	}
	v.RecoverySeconds = time.Since(over).Seconds()
	harness.totalChanges.Wait()
	select {
	case result := <-loaded:
		result.addTo(v)
	case <-time.After(loadEndTimeout):
		endLoad()
		result := <-loaded
		result.addTo(v)
	}
}

// injectAt injects one fault at its time after the start, and counts it.
func (harness *Harness) injectAt(ctx context.Context, fault schedule.Fault, start time.Time) {
	if pause(ctx, fault.At-time.Since(start)); ctx.Err() != nil {
		return
	}
	harness.options.Logf("%7.1f s  %v", time.Since(start).Seconds(), fault)
	if err := harness.inject(ctx, fault); err != nil {
		harness.options.Logf("%v: %v", fault, err)
		harness.countFault(notInjectedPrefix + string(fault.Kind))
		return
	}
	harness.countFault(string(fault.Kind))
}

// notInjectedPrefix begins the keys of Verdict.Faults for faults that could not be injected.
const notInjectedPrefix = "not brought about: "

// loadResult is the outcome of the load generator.
type loadResult struct {
	result *loadgen.Report // nil: the schedule has no load
	err    error
}

// runLoad sends the scenario's requests until the scenario or the context ends.
func (harness *Harness) runLoad(ctx context.Context) loadResult {
	if harness.options.Schedule.Load <= 0 {
		return loadResult{}
	}
	result, err := loadgen.Run(ctx, loadgen.Options{
		Scenario: &harness.scenario,
		Seed:     harness.options.Schedule.Seed,
		Backends: harness.site.Backends,
		Bounds:   limits.ForLoad(),
	})
	if ctx.Err() != nil { // the load was cancelled, which is not an error
		err = nil
	}
	return loadResult{result, err}
}

// addTo copies the counts to a verdict. An error fails the verdict.
func (l loadResult) addTo(v *Verdict) {
	if l.err != nil {
		v.fail("load: %v", l.err)
	}
	if l.result != nil {
		v.Requests, v.Value = l.result.Requests, l.result.Value()
		v.Duplicates = l.result.DuplicateAnswers + l.result.UnknownResults
	}
}
