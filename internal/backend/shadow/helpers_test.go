package shadow

import (
	"fmt"
	"slices"

	"pgregory.net/rapid"

	"milletbarrow/admission"
	"milletbarrow/monotime"
)

// testConfig returns the configuration of a small deployment, changed by adjust unless that is nil.
func testConfig(adjust func(*admission.Config)) admission.Config {
	cfg := admission.Config{
		Operations: []admission.Operation{
			{
				Objective:     1_800 * monotime.Millisecond,
				ClientTimeout: 4_500 * monotime.Millisecond,
				Value:         1,
			},
			{
				Objective:     1_800 * monotime.Millisecond,
				ClientTimeout: 4_500 * monotime.Millisecond,
				Value:         10,
				RetrySafety:   admission.IdempotencyKeyed,
				RepeatWindow:  20 * monotime.Second,
			},
		},
		FleetSize:        3,
		Callers:          200,
		Cores:            2,
		MemoryKB:         20_000,
		RunFactor:        4,
		IdempotencyKeyKB: 50,
		AnswerSlack:      60 * monotime.Millisecond,
		DrainGrace:       2 * monotime.Second,
		ColdSpeed:        0.3,
		WarmUp:           9 * monotime.Second,
		CollapseMultiple: 6,
		CollapseAfter:    3 * monotime.Second,
		MaxRetryAfter:    monotime.Second,
		BatchInterval:    5 * monotime.Millisecond,
		IdleTimeout:      30 * monotime.Second,
	}
	if adjust != nil {
		adjust(&cfg)
	}
	return cfg
}

const (
	testSeed  = 7
	testStart = monotime.Second // the time at which a module opens
)

// newEvaluator returns a shadow with the configuration of testConfig, without a primary.
func newEvaluator() *Evaluator { return New(testConfig(nil), testSeed, testStart) }

// modulePair is a primary module with a shadow, on a simulated clock.
type modulePair struct {
	primary      *admission.Backend
	evaluator    *Evaluator
	now          monotime.Micros
	running      []string // IDs of the requests that the primary has started
	ignoreStarts bool     // leaves running empty, for benchmarks
}

// newModulePair opens a primary module and its shadow.
func newModulePair(primaryConfig, shadowConfig admission.Config) *modulePair {
	p := &modulePair{primary: admission.New(primaryConfig, testSeed), now: testStart}
	p.evaluator = New(shadowConfig, testSeed, p.now)
	p.observe(admission.Opened{})
	return p
}

// observe passes an event to both modules and records the requests that the primary starts.
func (p *modulePair) observe(event admission.Event) {
	actions := p.primary.Decide(p.now, event, nil)
	for _, action := range actions {
		if start, ok := action.(admission.Start); ok && !p.ignoreStarts {
			p.running = append(p.running, start.ID)
		}
	}
	p.evaluator.Observe(p.now, event, actions)
}

// arrive advances the clock by a millisecond and passes an arrival to both modules.
func (p *modulePair) arrive(number, operation int, timeLeft monotime.Micros) {
	p.now += monotime.Millisecond
	p.observe(admission.Arrived{
		ID:        requestID(number),
		Operation: operation,
		MemoryKB:  30,
		TimeLeft:  timeLeft,
		Priority:  0.1,
	})
}

// requestID returns the ID of the request with a number.
func requestID(number int) string { return fmt.Sprint("i", number) }

// finish passes the end of a run to both modules.
func (p *modulePair) finish(id string, outcome admission.Outcome) {
	p.running = slices.DeleteFunc(p.running, func(other string) bool { return other == id })
	p.observe(admission.Finished{ID: id, Outcome: outcome, Took: 1})
}

// finishAll ends all runs with success, including those that are started as a result.
func (p *modulePair) finishAll() {
	for len(p.running) > 0 {
		p.finish(p.running[0], admission.OK)
	}
}

// tick advances the clock by 20 ms and passes a reading to both modules.
func (p *modulePair) tick(onCores float64) {
	p.now += 20 * monotime.Millisecond
	p.observe(admission.Reading{
		Token:       1,
		CoreUse:     min(1, onCores/2),
		OnCores:     onCores,
		MemoryShare: 0.1,
		Connections: 5,
	})
}

// fillQueue passes enough arrivals to fill the cores and the queue.
func (p *modulePair) fillQueue() {
	p.tick(2)
	for n := range 12 {
		p.arrive(n, n%2, 2_250*monotime.Millisecond)
	}
	p.tick(8)
	p.tick(8)
}

// runRandomEvents passes random events to both modules, followed by readings until every deadline has passed.
func (p *modulePair) runRandomEvents(t *rapid.T) {
	arrived := 0
	p.now += 10 * monotime.Millisecond
	for range rapid.IntRange(20, 200).Draw(t, "events") {
		p.now += monotime.Micros(rapid.IntRange(0, 30_000).Draw(t, "elapsed"))
		switch rapid.IntRange(0, 9).Draw(t, "event") {
		case 0, 1, 2, 3, 4, 5:
			arrived++
			p.observe(drawArrival(t, arrived))
		case 6:
			if len(p.running) > 0 {
				outcomes := []admission.Outcome{admission.OK, admission.Errored, admission.Unrunnable}
				id := rapid.SampledFrom(p.running).Draw(t, "finished")
				p.finish(id, rapid.SampledFrom(outcomes).Draw(t, "outcome"))
			}
		case 7:
			p.observe(admission.CallerGone{ID: requestID(rapid.IntRange(1, arrived+1).Draw(t, "gone"))})
		default:
			p.tick(float64(rapid.IntRange(0, 12).Draw(t, "on cores")))
		}
	}
	if rapid.Bool().Draw(t, "drains") {
		p.observe(admission.DrainNotice{Left: 3 * monotime.Second})
		for range 160 {
			p.tick(3)
		}
	}
	p.finishAll()
	for range 400 { // 8 s, until every deadline has passed
		p.tick(0)
		p.finishAll()
	}
}

// drawArrival draws the arrival of a request, which may be a repeat of an earlier one.
func drawArrival(t *rapid.T, number int) admission.Arrived {
	arrival := admission.Arrived{
		ID:        requestID(number),
		Operation: rapid.IntRange(0, 1).Draw(t, "operation"),
		MemoryKB:  30,
		Priority:  rapid.Float64Range(0, 0.99).Draw(t, "priority"),
		Retry:     rapid.Bool().Draw(t, "retry"),
		QueueTime: monotime.Micros(rapid.IntRange(0, 1_200_000).Draw(t, "queue time")),
		TimeLeft:  monotime.Micros(rapid.IntRange(1, 4_000_000).Draw(t, "time left")),
	}
	if number > 3 && arrival.Operation == 1 && rapid.IntRange(0, 3).Draw(t, "repeat") == 0 {
		arrival.RepeatOf = requestID(rapid.IntRange(1, number-1).Draw(t, "original"))
	}
	return arrival
}
