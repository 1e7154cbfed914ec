package harness

import (
	"context"
	"sync"
	"time"

	"milletbarrow/internal/faultinjection/schedule"
	"milletbarrow/internal/limits"
	"milletbarrow/internal/loadgen"
)

// Limits of what has to come to its end after the last fault.
const (
	maxRecovery = 45 * time.Second // until all quotas are granted again
	maxLoadEnd  = 15 * time.Second // until callers have their last answers; then the load is cut off
)

// play injects the faults under load, and waits until all effects of them are over.
func (harness *Harness) play(ctx context.Context, v *Verdict) {
	loadCtx, endLoad := context.WithCancel(ctx)
	defer endLoad()
	loaded := make(chan loadResult, 1)
	go func() { loaded <- harness.runLoad(loadCtx) }()

	start := time.Now()
	var faults sync.WaitGroup
	for _, fault := range harness.options.Schedule.Faults {
		faults.Go(func() { harness.playFault(ctx, fault, start) })
	}
	if harness.options.Schedule.RollingUpdate > 0 {
		faults.Go(func() { harness.rollingUpdate(ctx, v, start) })
	}
	faults.Wait()
	pause(ctx, harness.options.Schedule.Span-time.Since(start))

	over := time.Now()
	if err := harness.waitFor(
		ctx,
		maxRecovery,
		"whole shares after the last fault",
		func() bool { return harness.fullyGranted(ctx) },
	); err != nil {
		v.fail("%v: %s", err, harness.describeState(ctx))
	}
	v.RecoverySeconds = time.Since(over).Seconds()
	harness.totalChanges.Wait()
	select {
	case result := <-loaded:
		result.addTo(v)
	case <-time.After(maxLoadEnd):
		endLoad()
		result := <-loaded
		result.addTo(v)
	}
}

// playFault injects one fault at its time.
func (harness *Harness) playFault(ctx context.Context, fault schedule.Fault, start time.Time) {
	if pause(ctx, fault.At-time.Since(start)); ctx.Err() != nil {
		return
	}
	harness.options.Logf("%7.1f s  %v", time.Since(start).Seconds(), fault)
	if err := harness.inject(ctx, fault); err != nil {
		harness.options.Logf("%v: %v", fault, err)
		harness.countFault("not brought about: " + string(fault.Kind))
		return
	}
	harness.countFault(string(fault.Kind))
}

// loadResult is what the load generator counted.
type loadResult struct {
	result *loadgen.Report // nil: there was no load
	err    error
}

// runLoad sends the scenario's requests until it is over, or the context ends.
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
	if ctx.Err() != nil { // it was cut off
		err = nil
	}
	return loadResult{result, err}
}

func (l loadResult) addTo(v *Verdict) {
	if l.err != nil {
		v.fail("load: %v", l.err)
	}
	if l.result != nil {
		v.Requests, v.Value, v.Duplicates = l.result.Requests, l.result.Value(), l.result.DuplicateAnswers+l.result.UnknownResults
	}
}
