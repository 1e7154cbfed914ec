package admission

import (
	"fmt"
	"strings"
	"testing"

	"milletbarrow/monotime"
)

// The limit on runs that have started and not ended depends on the cores and is lower while the backend warms up.
func TestMaxRunsIsLowerWhileCold(t *testing.T) {
	tr := newTrace(t, func(config *Config) {
		config.JustStarted = true
		config.CollapseMultiple = 2
		config.WarmUp = 3 * monotime.Second
	})
	tr.note("runs that wait for a disk count although the gauge does not show them; two cold cores accept two runs")
	for n := range 4 {
		tr.arrive(fmt.Sprint("inv", n), idempotentOperation, 0.9)
		tr.advance(20, 0.1, 0)
	}
	tr.note("two warm cores accept three runs")
	tr.advance(3_000, 0.1, 0)
	tr.compare()
}

// If value is billed per request, a request of higher value starts first; if it is billed per work, it does not.
func TestHigherValuePerRequestStartsFirst(t *testing.T) {
	for _, valuePerWork := range []bool{false, true} {
		tr := newTrace(t, func(config *Config) {
			config.ValuePerWork = valuePerWork
			config.Operations[idempotentOperation].Value = 1
			config.Operations[nonIdempotentOperation].Value = 10
		})
		for n := range 2 {
			tr.arrive(fmt.Sprint("runs", n), idempotentOperation, 0.1)
		}
		tr.advance(20, 0.5, 2)
		for n := range 4 {
			tr.arrive(fmt.Sprint("cheap", n), idempotentOperation, 0.1)
		}
		tr.now += 50 * monotime.Millisecond
		tr.arrive("expensive", nonIdempotentOperation, 0.9)
		tr.now += 50 * monotime.Millisecond
		tr.text.Reset()
		tr.finish("runs0", OK)
		if first := strings.Contains(tr.text.String(), "Start{ID:expensive}"); first == valuePerWork {
			t.Errorf("value per work %t: request of higher value starts first: %t\n%s", valuePerWork, first, &tr.text)
		}
	}
}

// Two cores get no third run, which would slow down all three; six get a seventh, which starts whenever another ends.
func TestExtraRunStartsOnlyOnManyCores(t *testing.T) {
	for cores, want := range map[int]float64{1: 1, 2: 2, 4: 4, 6: 7} {
		tr := newTrace(t, func(config *Config) { config.Cores = cores })
		for n := range 12 {
			tr.arrive(fmt.Sprint("a", n), idempotentOperation, 0.9)
		}
		tr.advance(40, 1, want)
		if got := tr.backend.count(running); got != want {
			t.Errorf("%v runs on %d cores, want %v", got, cores, want)
		}
		tr.finish("a0", OK)
		if got := tr.backend.count(running); got != want {
			t.Errorf("%v runs on %d cores after a run has ended, want %v", got, cores, want)
		}
	}
}

// With ConfirmStarts each event proposes at most one start, and no request runs before Launched.
func TestConfirmStartsProposesOneStartAtATime(t *testing.T) {
	tr := newTrace(t, func(config *Config) { config.ConfirmStarts = true })
	tr.expect(arrival("a", idempotentOperation), Start{"a"})
	tr.expect(arrival("b", idempotentOperation), Start{"a"})
	if tr.backend.count(running) != 0 {
		t.Errorf("%v requests run before any start is confirmed, want 0", tr.backend.count(running))
	}
	tr.expect(Launched{"a"}, Start{"b"})
	if tr.backend.count(running) != 1 {
		t.Errorf("%v requests run after one confirmed start, want 1", tr.backend.count(running))
	}
}

// Launched has no effect for a request that is already running or in its call.
func TestLaunchedIsIgnoredUnlessRequestWaits(t *testing.T) {
	tr := newTrace(t, func(config *Config) { config.ConfirmStarts = true })
	tr.expect(arrival("a", idempotentOperation), Start{"a"})
	tr.expect(Launched{"a"})
	tr.expect(Launched{"a"})
	if tr.backend.load.runnable() != 1 {
		t.Errorf("%v runnable tasks after one confirmed start, want 1", tr.backend.load.runnable())
	}
	tr.decide(NeedsCall{"a"})
	tr.expect(Launched{"a"})
	if tr.backend.count(callInFlight) != 1 || tr.backend.count(running) != 0 {
		t.Errorf("%v calls in flight and %v running, want 1 and 0",
			tr.backend.count(callInFlight), tr.backend.count(running))
	}
}
