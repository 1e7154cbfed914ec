package shadow

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"milletbarrow/admission"
	"milletbarrow/monotime"
)

// TestEqualConfigurationsNeverDiffer checks for any events that a shadow with the primary's configuration never differs
// from it, and that a shadow with another configuration does not panic and has no unanswered request at the end.
func TestEqualConfigurationsNeverDiffer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		advertised := []admission.AdvertisedValue{admission.NothingAdvertised, admission.TrafficWeight}
		preemptions := []admission.Preemption{admission.NoPreemption, admission.PreemptionPauses}
		primaryConfig := testConfig(func(cfg *admission.Config) {
			cfg.RetriesUnmarked = rapid.Bool().Draw(t, "retries unmarked")
			cfg.AdvertisedValue = rapid.SampledFrom(advertised).Draw(t, "advertised value")
			cfg.Preemption = rapid.SampledFrom(preemptions).Draw(t, "preemption")
		})
		shadowConfig := primaryConfig
		equal := rapid.Bool().Draw(t, "equal")
		if !equal {
			shadowConfig = testConfig(func(cfg *admission.Config) {
				cfg.RetriesUnmarked = true
				cfg.AdvertisedValue = admission.TrafficWeight
				cfg.Preemption = admission.PreemptionPauses
				cfg.Operations[0].Objective /= monotime.Micros(rapid.IntRange(1, 9).Draw(t, "objective"))
				cfg.Operations[1].RetrySafety = admission.Idempotent
				cfg.MemoryKB /= float64(rapid.IntRange(1, 100).Draw(t, "memory"))
			})
		}
		p := newModulePair(primaryConfig, shadowConfig)
		p.runRandomEvents(t)
		counts := p.evaluator.Counts()
		if equal && counts.ByDifference != (Counts{}).ByDifference {
			t.Errorf("equal configurations: %v, want no difference", counts)
		}
		if counts.Panics > 0 || len(p.evaluator.unanswered) > 0 {
			t.Errorf("equal %t: %v, %d unanswered; want no panic, 0", equal, counts, len(p.evaluator.unanswered))
		}
	})
}

// TestShadowDecidesNothingAfterPanic checks that a panic of the shadow is counted, that the shadow is then released,
// and that the primary is not affected.
func TestShadowDecidesNothingAfterPanic(t *testing.T) {
	withoutSecondOperation := testConfig(func(cfg *admission.Config) { cfg.Operations = cfg.Operations[:1] })
	p := newModulePair(testConfig(nil), withoutSecondOperation)
	for n := range 3 {
		p.observe(admission.Arrived{ID: requestID(n), Operation: 1, MemoryKB: 30, TimeLeft: 4 * monotime.Second})
	}
	if c := p.evaluator.Counts(); c.Panics != 1 || c.Arrivals != 1 || len(p.running) != 2 {
		t.Errorf("%v, %d running; want 1 panic, 1 arrival, 2 running", c, len(p.running))
	}
	if p.evaluator.module != nil || p.evaluator.unanswered != nil {
		t.Error("the shadow's module or its requests are still referenced after the panic")
	}
}

// TestShadowStartsNothingItself checks that a request that the primary has not started does not run for the shadow,
// which proposes to start the same one again.
func TestShadowStartsNothingItself(t *testing.T) {
	e := newEvaluator()
	for n := range 2 {
		event := admission.Arrived{ID: requestID(n), MemoryKB: 30, TimeLeft: 4 * monotime.Second}
		e.Observe(testStart, event, nil) // the primary starts nothing
		if got := firstStarted(e.actions); got != requestID(0) {
			t.Errorf("after %d arrivals the shadow starts %q, want %q", n+1, got, requestID(0))
		}
	}
}

// TestOpenedIsNotForwarded checks that the primary's Opened event is not passed to the shadow, which New has opened.
func TestOpenedIsNotForwarded(t *testing.T) {
	e := newEvaluator()
	e.actions = []admission.Action{admission.Log{Text: "before the event"}}
	if e.Observe(testStart+monotime.Second, admission.Opened{}, nil); len(e.actions) != 1 {
		t.Errorf("the shadow decided %v", e.actions)
	}
}

// BenchmarkObserve measures the cost of two events with about ten requests in flight, with and without a shadow.
func BenchmarkObserve(b *testing.B) {
	for _, shadowed := range []bool{false, true} {
		b.Run(fmt.Sprint("shadow=", shadowed), func(b *testing.B) {
			p := newModulePair(testConfig(nil), testConfig(nil))
			p.ignoreStarts = true
			if !shadowed {
				p.evaluator.counts.Panics = 1 // the evaluator ignores events after a panic
			}
			for n := 0; b.Loop(); n++ {
				p.now += 10 * monotime.Millisecond
				p.observe(admission.Finished{ID: requestID(n - 10), Outcome: admission.OK, Took: 1})
				p.observe(admission.Arrived{
					ID:           requestID(n),
					MemoryKB:     30,
					ExpectedWork: 20 * monotime.Millisecond,
					TimeLeft:     4 * monotime.Second,
					Priority:     0.5,
				})
			}
		})
	}
}
