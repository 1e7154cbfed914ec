package admission

import (
	"fmt"
	"strings"
	"testing"

	"milletbarrow/monotime"
)

// The number of runs started and not ended is bounded by the cores, lower while warming up.
func TestMaxRunsWarmAndCold(t *testing.T) {
	tr := newTrace(t, func(config *Config) {
		config.JustStarted = true
		config.CollapseMultiple = 2
		config.WarmUp = 3 * monotime.Second
	})
	tr.note("runs that wait for a disk count though the gauge does not show them; two cold cores take two runs")
	for n := range 4 {
		tr.arrive(fmt.Sprint("inv", n), idempotentOperation, 0.9)
		tr.pass(20, 0.1, 0)
	}
	tr.note("two warm cores take three runs")
	tr.pass(3_000, 0.1, 0)
	tr.check()
}

// Where value is billed for each request, one of a higher value starts first.
func TestHigherValueFirst(t *testing.T) {
	for _, byWork := range []bool{false, true} {
		tr := newTrace(t, func(config *Config) {
			config.ValuePerWork = byWork
			config.Operations[idempotentOperation].Value = 1
			config.Operations[nonIdempotentOperation].Value = 10
		})
		for n := range 2 {
			tr.arrive(fmt.Sprint("runs", n), idempotentOperation, 0.1)
		}
		tr.pass(20, 0.5, 2)
		for n := range 4 {
			tr.arrive(fmt.Sprint("cheap", n), idempotentOperation, 0.1)
		}
		tr.now += 50 * monotime.Millisecond
		tr.arrive("dear", nonIdempotentOperation, 0.9)
		tr.now += 50 * monotime.Millisecond
		tr.text.Reset()
		tr.finish("runs0", OK)
		if first := strings.Contains(tr.text.String(), "Start{ID:dear}"); first == byWork {
			t.Errorf("value billed by work %t: the higher value starts first %t\n%s", byWork, first, &tr.text)
		}
	}
}

// Two cores get no third run, which would slow all three; six get a seventh, which has a core between two others.
func TestRunsWantedOnFewCoresAndMany(t *testing.T) {
	for cores, want := range map[int]float64{1: 1, 2: 2, 4: 4, 6: 7} {
		tr := newTrace(t, func(config *Config) { config.Cores = cores })
		for n := range 12 {
			tr.arrive(fmt.Sprint("a", n), idempotentOperation, 0.9)
		}
		tr.pass(40, 1, want)
		if got := tr.b.count(running); got != want {
			t.Errorf("%v runs on %d cores, want %v", got, cores, want)
		}
		tr.finish("a0", OK)
		if got := tr.b.count(running); got != want {
			t.Errorf("%v runs on %d cores after an end, want %v", got, cores, want)
		}
	}
}

// With ConfirmStarts each event proposes one start, and nothing runs before Launched.
func TestOneStartIsProposedAtATime(t *testing.T) {
	tr := newTrace(t, func(config *Config) { config.ConfirmStarts = true })
	tr.expect(arrival("a", idempotentOperation), Start{"a"})
	tr.expect(arrival("b", idempotentOperation), Start{"a"})
	if tr.b.count(running) != 0 {
		t.Errorf("%v run before their start is confirmed", tr.b.count(running))
	}
	tr.expect(Launched{"a"}, Start{"b"})
	if tr.b.count(running) != 1 {
		t.Errorf("%v run, one start is confirmed", tr.b.count(running))
	}
}

// Launched for a request that already runs or is at its call changes nothing.
func TestOnlyWaitingWorkIsLaunched(t *testing.T) {
	tr := newTrace(t, func(config *Config) { config.ConfirmStarts = true })
	tr.expect(arrival("a", idempotentOperation), Start{"a"})
	tr.expect(Launched{"a"})
	tr.expect(Launched{"a"})
	if tr.b.load.runnable() != 1 {
		t.Errorf("%v want a core, one has been started", tr.b.load.runnable())
	}
	tr.decide(NeedsCall{"a"})
	tr.expect(Launched{"a"})
	if tr.b.count(inCall) != 1 || tr.b.count(running) != 0 {
		t.Errorf("%v in a call, %v running", tr.b.count(inCall), tr.b.count(running))
	}
}
