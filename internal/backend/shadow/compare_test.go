package shadow

import (
	"testing"

	"milletbarrow/admission"
	"milletbarrow/internal/fakes"
	"milletbarrow/monotime"
)

// TestAnswersDifferInRetryAdvice checks that two throttling answers to a request differ if only one forbids a retry on
// other backends, or if their Retry-After values differ by more than half. They are compared for the shadow's side
// only.
func TestAnswersDifferInRetryAdvice(t *testing.T) {
	type throttle = admission.Throttle
	for _, test := range []struct {
		name        string
		byShadow    admission.Action
		byPrimary   admission.Action
		want        Difference
		wantDiffers bool
	}{
		{"Retry-After longer by half", throttle{RetryAfter: 3}, throttle{RetryAfter: 2}, RetryAfter, false},
		{"Retry-After longer by more than half", throttle{RetryAfter: 4}, throttle{RetryAfter: 2}, RetryAfter, true},
		{"Retry-After shorter by more than half", throttle{RetryAfter: 2}, throttle{RetryAfter: 4}, RetryAfter, true},
		{"only the shadow forbids a retry elsewhere", throttle{DontRetry: true}, throttle{}, RetryElsewhere, true},
		{"failed by the shadow, throttled by the primary", admission.Fail{}, throttle{DontRetry: true}, 0, false},
		{"throttled by the shadow, failed by the primary", throttle{DontRetry: true}, admission.Fail{}, 0, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			got, differs := compareAnswers(test.byShadow, test.byPrimary, shadow, false)
			if differs != test.wantDiffers || differs && got != test.want {
				t.Errorf("%v, %t; want %v, %t", got, differs, test.want, test.wantDiffers)
			}
			if _, differs = compareAnswers(test.byPrimary, test.byShadow, primary, false); differs {
				t.Error("also compared for the primary's side")
			}
		})
	}
}

// TestEachAnswerIsComparedOnce checks that an answer that only one side gives is counted once, and that later answers
// to the same request and answers to requests not in flight are not counted.
func TestEachAnswerIsComparedOnce(t *testing.T) {
	e := newEvaluator()
	e.unanswered["a"] = true
	throttle := []admission.Action{admission.Throttle{ID: "a"}}
	for range 2 {
		e.compare("", [sideCount][]admission.Action{shadow: throttle})
	}
	e.compare("", [sideCount][]admission.Action{primary: throttle})
	e.compare("", [sideCount][]admission.Action{primary: {admission.Throttle{ID: "not in flight"}}})
	if want := [differenceCount]int{OnlyShadowGivesUp: 1}; e.Counts().ByDifference != want {
		t.Errorf("%v, want %v", e.Counts(), Counts{ByDifference: want})
	}
}

// TestDifferentStateIsCountedOnce checks that a difference in state is counted once until both sides agree again.
func TestDifferentStateIsCountedOnce(t *testing.T) {
	e := newEvaluator()
	changes := []admission.Action{admission.SetHealth{}, admission.CloseIdle{After: 1}}
	for range 2 {
		e.compare("", [sideCount][]admission.Action{primary: changes})
		e.compare("", [sideCount][]admission.Action{})
	}
	if c := e.Counts().ByDifference; c[Health] != 1 || c[IdleTimeout] != 1 {
		t.Errorf("%v, want one difference in health and one in the idle timeout", e.Counts())
	}
}

// TestEachKindOfDifferenceIsCounted compares the counts of differences that a single setting causes with the recorded
// ones.
func TestEachKindOfDifferenceIsCounted(t *testing.T) {
	tr := fakes.NewTrace(t)
	type adjustment = func(*admission.Config)
	var unchanged adjustment
	smallMemory := func(cfg *admission.Config) { cfg.MemoryKB = 200 }
	shortObjective := func(cfg *admission.Config) { cfg.Operations[0].Objective = 400 * monotime.Millisecond }
	for _, test := range []struct {
		name          string
		adjustPrimary adjustment
		adjustShadow  adjustment
		events        func(*modulePair)
	}{
		{"equal", unchanged, unchanged, (*modulePair).fillQueue},
		{
			"retries are unmarked",
			unchanged,
			func(cfg *admission.Config) { cfg.RetriesUnmarked = true },
			unusualTimeLeft,
		},
		{"smaller memory", unchanged, smallMemory, (*modulePair).fillQueue},
		{"larger memory", smallMemory, unchanged, (*modulePair).fillQueue},
		{
			"another billed value",
			unchanged,
			func(cfg *admission.Config) { cfg.Operations[0].Value = 100 },
			startFromQueue,
		},
		{"shorter objective", unchanged, shortObjective, (*modulePair).fillQueue},
		{"longer objective", shortObjective, unchanged, (*modulePair).fillQueue},
		{
			"repeats identified by key",
			func(cfg *admission.Config) { cfg.Operations[1].RetrySafety = admission.Idempotent },
			unchanged,
			repeatOfRunning,
		},
		{
			"runs can be paused",
			unchanged,
			func(cfg *admission.Config) { cfg.Preemption = admission.PreemptionPauses },
			runPastDeadline,
		},
		{
			"advertised traffic weight",
			unchanged,
			func(cfg *admission.Config) { cfg.AdvertisedValue = admission.TrafficWeight },
			(*modulePair).fillQueue,
		},
		{"hundreds of callers", func(cfg *admission.Config) { cfg.Callers = 3 }, unchanged, idleTicks},
	} {
		p := newModulePair(testConfig(test.adjustPrimary), testConfig(test.adjustShadow))
		test.events(p)
		tr.Say("%s: %v", test.name, p.evaluator.Counts())
	}
}

// unusualTimeLeft passes arrivals of which every other one has an unusual time left.
func unusualTimeLeft(p *modulePair) {
	for n := range 300 {
		p.tick(9)
		timeLeft := 2_250 * monotime.Millisecond
		if n%2 == 1 {
			timeLeft = 4_500*monotime.Millisecond - monotime.Micros(n*7919%2_000_000)
		}
		p.arrive(n, 0, timeLeft)
	}
}

// startFromQueue finishes a run while requests for both operations are queued.
func startFromQueue(p *modulePair) {
	for n := range 5 { // two start and three are queued
		p.arrive(n, n%2, 4*monotime.Second)
	}
	p.tick(2)
	p.finish(requestID(0), admission.OK)
}

// repeatOfRunning passes the arrival of a repeat whose original is running.
func repeatOfRunning(p *modulePair) {
	p.arrive(1, 1, 4*monotime.Second)
	p.observe(admission.Arrived{
		ID:        requestID(2),
		Operation: 1,
		MemoryKB:  30,
		TimeLeft:  4 * monotime.Second,
		RepeatOf:  requestID(1),
	})
}

// runPastDeadline passes readings until after the deadline of a running request.
func runPastDeadline(p *modulePair) {
	p.arrive(1, 0, 100*monotime.Millisecond)
	for range 10 {
		p.tick(2)
	}
}

// idleTicks passes readings of a nearly idle host.
func idleTicks(p *modulePair) {
	for range 100 {
		p.tick(1)
	}
}
