package shadow

import (
	"testing"

	"milletbarrow/admission"
	"milletbarrow/internal/fakes"
	"milletbarrow/monotime"
)

// Two answers to a request differ in the advice on other backends or, by more than half, in the Retry-After. They are
// compared from the shadow's side alone.
func TestCompareAnswers(t *testing.T) {
	type throttle = admission.Throttle
	for _, test := range []struct {
		name        string
		ofShadow    admission.Action
		ofPrimary   admission.Action
		want        Difference
		wantDiffers bool
	}{
		{"longer by half", throttle{RetryAfter: 3}, throttle{RetryAfter: 2}, RetryAfter, false},
		{"longer by more than half", throttle{RetryAfter: 4}, throttle{RetryAfter: 2}, RetryAfter, true},
		{"shorter by more than half", throttle{RetryAfter: 2}, throttle{RetryAfter: 4}, RetryAfter, true},
		{"don't retry", throttle{DontRetry: true}, throttle{}, RetryElsewhere, true},
		{"failed and throttled", admission.Fail{}, throttle{DontRetry: true}, 0, false},
		{"throttled and failed", throttle{DontRetry: true}, admission.Fail{}, 0, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			got, differs := compareAnswers(test.ofShadow, test.ofPrimary, shadow, false)
			if differs != test.wantDiffers || differs && got != test.want {
				t.Errorf("%v, %t; want %v, %t", got, differs, test.want, test.wantDiffers)
			}
			if _, differs = compareAnswers(test.ofPrimary, test.ofShadow, primary, false); differs {
				t.Error("compared from the primary's side too")
			}
		})
	}
}

// An answer that only one side gives is counted once; later answers to that request are not counted.
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

// A state that differs is counted once until both sides agree again.
func TestDifferentStateIsCountedOnce(t *testing.T) {
	e := newEvaluator()
	changes := []admission.Action{admission.SetHealth{}, admission.CloseIdle{After: 1}}
	for range 2 {
		e.compare("", [sideCount][]admission.Action{primary: changes})
		e.compare("", [sideCount][]admission.Action{})
	}
	if c := e.Counts().ByDifference; c[Health] != 1 || c[IdleTimeout] != 1 {
		t.Errorf("%v, want 1 of health and 1 of the idle timeout", e.Counts())
	}
}

// Each kind of difference is counted where one setting causes it.
func TestEachKindOfDifferenceIsCounted(t *testing.T) {
	tr := fakes.NewTrace(t)
	type adjustment = func(*admission.Config)
	var unchanged adjustment
	smallMemory := func(cfg *admission.Config) { cfg.MemoryKB = 200 }
	shortObjective := func(cfg *admission.Config) { cfg.Operations[0].Objective = 400 * monotime.Millisecond }
	for _, test := range []struct {
		name      string
		ofPrimary adjustment
		ofShadow  adjustment
		events    func(*pair)
	}{
		{"equal", unchanged, unchanged, (*pair).fillQueue},
		{
			"retries are unmarked",
			unchanged,
			func(cfg *admission.Config) { cfg.RetriesUnmarked = true },
			unusualTimeLeft,
		},
		{"smaller memory", unchanged, smallMemory, (*pair).fillQueue},
		{"larger memory", smallMemory, unchanged, (*pair).fillQueue},
		{
			"another billed value",
			unchanged,
			func(cfg *admission.Config) { cfg.Operations[0].Value = 100 },
			startFromQueue,
		},
		{"shorter objective", unchanged, shortObjective, (*pair).fillQueue},
		{"longer objective", shortObjective, unchanged, (*pair).fillQueue},
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
			(*pair).fillQueue,
		},
		{"hundreds of callers", func(cfg *admission.Config) { cfg.Callers = 3 }, unchanged, idleTicks},
	} {
		p := newPair(testConfig(test.ofPrimary), testConfig(test.ofShadow))
		test.events(p)
		tr.Say("%s: %v", test.name, p.evaluator.Counts())
	}
}

// unusualTimeLeft lets every other request arrive with an unusual time left.
func unusualTimeLeft(p *pair) {
	for n := range 300 {
		p.tick(9)
		timeLeft := 2_250 * monotime.Millisecond
		if n%2 == 1 {
			timeLeft = 4_500*monotime.Millisecond - monotime.Micros(n*7919%2_000_000)
		}
		p.arrive(n, 0, timeLeft)
	}
}

// startFromQueue ends a run while requests of both operations are queued.
func startFromQueue(p *pair) {
	for n := range 5 { // two run and three are queued
		p.arrive(n, n%2, 4*monotime.Second)
	}
	p.tick(2)
	p.finish(requestID(0), admission.OK)
}

func repeatOfRunning(p *pair) {
	p.arrive(1, 1, 4*monotime.Second)
	p.observe(admission.Arrived{
		ID:        requestID(2),
		Operation: 1,
		MemoryKB:  30,
		TimeLeft:  4 * monotime.Second,
		RepeatOf:  requestID(1),
	})
}

func runPastDeadline(p *pair) {
	p.arrive(1, 0, 100*monotime.Millisecond)
	for range 10 {
		p.tick(2)
	}
}

func idleTicks(p *pair) {
	for range 100 {
		p.tick(1)
	}
}
