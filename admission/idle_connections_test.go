package admission

import (
	"fmt"
	"strings"
	"testing"

	"milletbarrow/monotime"
)

// Idle connections of sparse callers are closed early; frequent callers, and few callers, keep theirs.
func TestIdleConnectionsOfSparseCallers(t *testing.T) {
	few := newTrace(t, func(config *Config) {
		config.Callers = 32
		config.FleetSize = 300
		config.IdleTimeout = 30 * monotime.Second
	})
	few.pass(6000, 0.5, 1)
	if text := few.text.String(); strings.Contains(text, "CloseIdle") {
		t.Errorf("connections of 16 callers per core are closed early:\n%s", text)
	}
	tr := newTrace(t, func(config *Config) {
		config.Callers = 40
		config.FleetSize = 300
		config.IdleTimeout = 30 * monotime.Second
	})
	for _, every := range []monotime.Micros{500, 60, 500} {
		tr.note(fmt.Sprintf("40 callers, a request every %d ms", every))
		for end := tr.now + 12*monotime.Second; tr.now < end; {
			tr.b.arrivals.recent.add(tr.now, 1)
			tr.pass(every, 0.5, 1)
		}
	}
	tr.check()
}

// In saturation idle connections stay open, as new ones would hardly bring a request that is admitted.
func TestSaturationLeavesConnectionsOpen(t *testing.T) {
	tr := newTrace(t, func(config *Config) {
		config.Callers = 400
		config.FleetSize = 300
		config.IdleTimeout = 30 * monotime.Second
	})
	readFor200ms := func(throttled, of int) {
		for n := range of {
			arrived := Arrived{ID: fmt.Sprint(tr.now, "-", n), TimeLeft: 5 * monotime.Second, MemoryKB: 1}
			if n < throttled {
				arrived.ShedFor = monotime.Millisecond
			}
			tr.b.Decide(tr.now, arrived, nil)
			tr.b.Decide(tr.now, Finished{ID: arrived.ID, Outcome: OK}, nil)
		}
		tr.pass(200, 1, 1)
	}
	tr.note("sparse callers")
	tr.pass(3000, 1, 4)
	tr.note("eight in ten requests are rejected, then ten tasks occupy the cores: neither is saturation")
	for range 5 {
		readFor200ms(16, 20)
	}
	tr.pass(30_000, 1, 10)
	tr.pass(10_000, 1, 1)
	tr.note("eight requests, all rejected, are too few for saturation")
	readFor200ms(8, 8)
	tr.pass(30_000, 1, 1)
	tr.note("nineteen of twenty requests are rejected: saturation; then none for more than a minute")
	readFor200ms(19, 20)
	tr.pass(70_000, 1, 1)
	tr.check()
}
