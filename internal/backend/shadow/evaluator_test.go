package shadow

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"milletbarrow/admission"
	"milletbarrow/internal/fakes"
	"milletbarrow/monotime"
)

// config is that of a small deployment; shape changes it.
func config(shape func(*admission.Config)) admission.Config {
	t := admission.Config{
		Operations: []admission.Operation{
			{Objective: 1_800_000, ClientTimeout: 4_500_000, Value: 1},
			{Objective: 1_800_000, ClientTimeout: 4_500_000, Value: 10, RetrySafety: admission.IdempotencyKeyed, RepeatWindow: 20_000_000},
		},
		FleetSize: 3, Callers: 200, Cores: 2, MemoryKB: 20_000, RunFactor: 4, IdempotencyKeyKB: 50, AnswerSlack: 60_000,
		DrainGrace: 2_000_000, ColdSpeed: 0.3, WarmUp: 9_000_000, CollapseMultiple: 6, CollapseAfter: 3_000_000,
		MaxRetryAfter: 1_000_000, BatchInterval: 5_000, IdleTimeout: 30_000_000,
	}
	shape(&t)
	return t
}

// pair is a primary module with a shadow, on a simulated clock.
type pair struct {
	primary   *admission.Backend
	evaluator *Evaluator
	now       monotime.Micros
	running   []string
	record    bool // keep the started requests in running
}

func newPair(first, second admission.Config) *pair {
	p := &pair{primary: admission.New(first, 7), now: 1_000_000, record: true}
	p.evaluator = New(second, 7, p.now)
	p.observe(admission.Opened{})
	return p
}

func (p *pair) observe(event admission.Event) {
	actions := p.primary.Decide(p.now, event, nil)
	for _, action := range actions {
		if a, ok := action.(admission.Start); ok && p.record {
			p.running = append(p.running, a.ID)
		}
	}
	p.evaluator.Observe(p.now, event, actions)
}

func (p *pair) end(id string, how admission.Outcome) {
	p.running = slices.DeleteFunc(p.running, func(other string) bool { return other == id })
	p.observe(admission.Finished{ID: id, Outcome: how, Took: 1})
}

func (p *pair) tick(onCores float64) {
	p.now += 20_000
	p.observe(admission.Reading{Token: 1, CoreUse: min(1, onCores/2), OnCores: onCores, MemoryShare: 0.1, Connections: 5})
}

// randomEvents generates events and has both modules decide on them.
func randomEvents(t *rapid.T, p *pair) {
	arrived := 0
	p.now += 10_000
	for range rapid.IntRange(20, 200).Draw(t, "events") {
		p.now += monotime.Micros(rapid.IntRange(0, 30_000).Draw(t, "later"))
		switch rapid.IntRange(0, 9).Draw(t, "what") {
		case 0, 1, 2, 3, 4, 5:
			arrived++
			a := admission.Arrived{
				ID: fmt.Sprint("i", arrived), Operation: rapid.IntRange(0, 1).Draw(t, "operation"), MemoryKB: 30,
				Priority: rapid.Float64Range(0, 0.99).Draw(t, "rank"), Retry: rapid.Bool().Draw(t, "retry"),
				QueueTime: monotime.Micros(rapid.IntRange(0, 1_200_000).Draw(t, "waited")),
				TimeLeft:  monotime.Micros(rapid.IntRange(1, 4_000_000).Draw(t, "budget")),
			}
			if arrived > 3 && a.Operation == 1 && rapid.IntRange(0, 3).Draw(t, "repeat") == 0 {
				a.RepeatOf = fmt.Sprint("i", rapid.IntRange(1, arrived-1).Draw(t, "of"))
			}
			p.observe(a)
		case 6:
			if len(p.running) > 0 {
				how := []admission.Outcome{admission.OK, admission.Errored, admission.Unrunnable}
				p.end(rapid.SampledFrom(p.running).Draw(t, "which"), rapid.SampledFrom(how).Draw(t, "how"))
			}
		case 7:
			p.observe(admission.CallerGone{ID: fmt.Sprint("i", rapid.IntRange(1, arrived+1).Draw(t, "gone"))})
		default:
			p.tick(float64(rapid.IntRange(0, 12).Draw(t, "on cores")))
		}
	}
	if rapid.Bool().Draw(t, "drains") {
		p.observe(admission.DrainNotice{Left: 3_000_000})
		for range 160 {
			p.tick(3)
		}
	}
	for len(p.running) > 0 {
		p.end(p.running[0], admission.OK)
	}
	for range 400 { // every deadline has passed by then
		p.tick(0)
		for len(p.running) > 0 {
			p.end(p.running[0], admission.OK)
		}
	}
}

// TestAnyConfiguration: whatever happens, a shadow with the same settings decides nothing otherwise, and one with others
// leaves no request unanswered at the end and does not panic.
func TestAnyConfiguration(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first := config(func(s *admission.Config) {
			s.RetriesUnmarked = rapid.Bool().Draw(t, "unmarked")
			s.AdvertisedValue = rapid.SampledFrom([]admission.AdvertisedValue{admission.NothingAdvertised, admission.TrafficWeight}).Draw(t, "value")
			s.Preemption = rapid.SampledFrom([]admission.Preemption{admission.NoPreemption, admission.PreemptionPauses}).Draw(t, "preemption")
		})
		second, same := first, rapid.Bool().Draw(t, "the same")
		if !same {
			second = config(func(s *admission.Config) {
				s.RetriesUnmarked, s.AdvertisedValue, s.Preemption = true, admission.TrafficWeight, admission.PreemptionPauses
				s.Operations[0].Objective /= monotime.Micros(rapid.IntRange(1, 9).Draw(t, "objective"))
				s.Operations[1].RetrySafety = admission.Idempotent
				s.MemoryKB /= float64(rapid.IntRange(1, 100).Draw(t, "memory"))
			})
		}
		p := newPair(first, second)
		randomEvents(t, p)
		c := p.evaluator.Counts()
		if same && len(c.Map()) > 2 || c.Panics > 0 || len(p.evaluator.unanswered) > 0 {
			t.Errorf("the same %t: %v, %d unanswered", same, c, len(p.evaluator.unanswered))
		}
	})
}

// TestShadowPanic: a panic of the shadow is counted, and it decides nothing more.
func TestShadowPanic(t *testing.T) {
	p := newPair(config(func(*admission.Config) {}), config(func(s *admission.Config) { s.Operations = s.Operations[:1] }))
	for n := range 3 {
		p.observe(admission.Arrived{ID: fmt.Sprint("i", n), Operation: 1, MemoryKB: 30, TimeLeft: 4_000_000})
	}
	if c := p.evaluator.Counts(); c.Panics != 1 || c.Arrivals != 1 || len(p.running) != 2 {
		t.Errorf("%v, %d run", c, len(p.running))
	}
	if p.evaluator.module != nil || p.evaluator.unanswered != nil {
		t.Error("the shadow's module and its requests are still referred to")
	}
}

// TestShadowStartsNothingItself: a start is the shadow's proposal until the primary has started that request.
func TestShadowStartsNothingItself(t *testing.T) {
	e := New(config(func(*admission.Config) {}), 7, 1_000_000)
	for n := range 2 {
		event := admission.Arrived{ID: fmt.Sprint("i", n), MemoryKB: 30, TimeLeft: 4_000_000}
		e.Observe(1_000_000, event, nil) // the primary starts neither
		if got := firstStarted(e.actions); got != "i0" {
			t.Errorf("after %d arrivals %q is proposed", n+1, got)
		}
	}
}

// TestShadowOpensOnce: New has opened the shadow; the primary's opening is not passed on.
func TestShadowOpensOnce(t *testing.T) {
	e := New(config(func(*admission.Config) {}), 7, 1_000_000)
	e.actions = []admission.Action{admission.Log{Text: "none decided since"}}
	if e.Observe(2_000_000, admission.Opened{}, nil); len(e.actions) != 1 {
		t.Errorf("decided %v", e.actions)
	}
}

// TestEachRequestIsComparedOnce: an answer that only one side gives counts once, and what either gives later counts no more.
func TestEachRequestIsComparedOnce(t *testing.T) {
	e := New(config(func(*admission.Config) {}), 7, 1_000_000)
	e.unanswered["a"] = true
	throttle := []admission.Action{admission.Throttle{ID: "a"}}
	for range 2 {
		e.compare("", [sideCount][]admission.Action{shadow: throttle})
	}
	e.compare("", [sideCount][]admission.Action{primary: throttle})
	e.compare("", [sideCount][]admission.Action{primary: {admission.Throttle{ID: "not in flight"}}})
	if got, want := e.Counts().ByDifference, (Counts{ByDifference: [differenceCount]int{OnlyShadowGivesUp: 1}}).ByDifference; got != want {
		t.Errorf("%v", e.Counts())
	}
}

// TestStateIsComparedOnce: a state that differs counts once, until both sides agree again.
func TestStateIsComparedOnce(t *testing.T) {
	e := New(config(func(*admission.Config) {}), 7, 1_000_000)
	bad := []admission.Action{admission.SetHealth{}, admission.CloseIdle{After: 1}}
	for range 2 {
		e.compare("", [sideCount][]admission.Action{primary: bad})
		e.compare("", [sideCount][]admission.Action{})
	}
	if c := e.Counts().ByDifference; c[Health] != 1 || c[IdleTimeout] != 1 {
		t.Errorf("%v", e.Counts())
	}
}

// TestAnswersCompared: what counts as another answer where both sides give one.
func TestAnswersCompared(t *testing.T) {
	type throttle = admission.Throttle
	for _, row := range []struct {
		shadows, primaries admission.Action
		want               Difference
		differs            bool
	}{
		{throttle{RetryAfter: 3}, throttle{RetryAfter: 2}, RetryAfter, false},
		{throttle{RetryAfter: 4}, throttle{RetryAfter: 2}, RetryAfter, true},
		{throttle{RetryAfter: 2}, throttle{RetryAfter: 4}, RetryAfter, true},
		{throttle{DontRetry: true}, throttle{}, RetryElsewhere, true},
		{admission.Fail{}, throttle{DontRetry: true}, 0, false},
		{throttle{DontRetry: true}, admission.Fail{}, 0, false},
	} {
		got, differs := compareAnswers(row.shadows, row.primaries, shadow, false)
		if differs != row.differs || differs && got != row.want {
			t.Errorf("%T%+v, %T%+v: %v %t", row.shadows, row.shadows, row.primaries, row.primaries, got, differs)
		}
		if _, differs = compareAnswers(row.primaries, row.shadows, primary, false); differs {
			t.Errorf("%T%+v: counted from the primary's side too", row.primaries, row.primaries)
		}
	}
}

// TestDifferences: each kind is counted where one setting makes the difference.
func TestDifferences(t *testing.T) {
	tr := fakes.NewTrace(t)
	arrive := func(p *pair, n, operation int, budget monotime.Micros) {
		p.now += 1000
		p.observe(admission.Arrived{ID: fmt.Sprint("i", n), Operation: operation, MemoryKB: 30, TimeLeft: budget, Priority: 0.1})
	}
	crowd := func(p *pair) { // full cores with a queue
		p.tick(2)
		for n := range 12 {
			arrive(p, n, n%2, 2_250_000)
		}
		p.tick(8)
		p.tick(8)
	}
	none := func(*admission.Config) {}
	small := func(s *admission.Config) { s.MemoryKB = 200 }
	brief := func(s *admission.Config) { s.Operations[0].Objective = 400_000 }
	for _, c := range []struct {
		name          string
		first, second func(*admission.Config)
		how           func(*pair)
	}{
		{"the same", none, none, crowd},
		{"no mark: unusual waits", none, func(s *admission.Config) { s.RetriesUnmarked = true }, func(p *pair) {
			for n := range 300 {
				p.tick(9)
				arrive(p, n, 0, []monotime.Micros{2_250_000, 4_500_000 - monotime.Micros(n*7919%2_000_000)}[n%2])
			}
		}},
		{"a smaller memory", none, small, crowd},
		{"a larger memory", small, none, crowd},
		{"other billed values", none, func(s *admission.Config) { s.Operations[0].Value = 100 }, func(p *pair) {
			for n := range 5 { // two run, one of each waits, and one more
				arrive(p, n, n%2, 4_000_000)
			}
			p.tick(2)
			p.end("i0", admission.OK)
		}},
		{"a shorter objective", none, brief, crowd},
		{"a longer objective", brief, none, crowd},
		{"repeats known by key", func(s *admission.Config) { s.Operations[1].RetrySafety = admission.Idempotent }, none, func(p *pair) {
			arrive(p, 1, 1, 4_000_000)
			p.observe(admission.Arrived{ID: "i2", Operation: 1, MemoryKB: 30, TimeLeft: 4_000_000, RepeatOf: "i1"})
		}},
		{"runs can be paused", none, func(s *admission.Config) { s.Preemption = admission.PreemptionPauses }, func(p *pair) {
			arrive(p, 1, 0, 100_000)
			for range 10 {
				p.tick(2)
			}
		}},
		{"a free value", none, func(s *admission.Config) { s.AdvertisedValue = admission.TrafficWeight }, crowd},
		{"callers by the hundred", func(s *admission.Config) { s.Callers = 3 }, none, func(p *pair) {
			for range 100 {
				p.tick(1)
			}
		}},
	} {
		p := newPair(config(c.first), config(c.second))
		c.how(p)
		tr.Say("%s: %v", c.name, p.evaluator.Counts())
	}
}

// BenchmarkObserve is what a shadow adds to two events, with some ten requests in flight.
func BenchmarkObserve(b *testing.B) {
	for _, shadowed := range []bool{false, true} {
		b.Run(fmt.Sprint("shadow=", shadowed), func(b *testing.B) {
			p := newPair(config(func(*admission.Config) {}), config(func(*admission.Config) {}))
			if p.record = false; !shadowed {
				p.evaluator.counts.Panics = 1
			}
			for n := 0; b.Loop(); n++ {
				p.now += 10_000
				p.observe(admission.Finished{ID: fmt.Sprint("i", n-10), Outcome: admission.OK, Took: 1})
				p.observe(admission.Arrived{ID: fmt.Sprint("i", n), MemoryKB: 30, ExpectedWork: 20_000, TimeLeft: 4_000_000, Priority: 0.5})
			}
		})
	}
}
