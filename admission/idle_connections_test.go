package admission

import (
	"fmt"
	"strings"
	"testing"

	"milletbarrow/monotime"
)

// Idle connections of many infrequent callers are closed early; those of frequent callers or of few callers are not.
func TestIdleConnectionsOfInfrequentCallersAreClosedEarly(t *testing.T) {
	fewCallers := newTrace(t, func(config *Config) {
		config.Callers = 32
		config.FleetSize = 300
		config.IdleTimeout = 30 * monotime.Second
	})
	fewCallers.advance(6000, 0.5, 1)
	if text := fewCallers.text.String(); strings.Contains(text, "CloseIdle") {
		t.Errorf("idle connections of 16 callers per core were closed early:\n%s", text)
	}
	tr := newTrace(t, func(config *Config) {
		config.Callers = 40
		config.FleetSize = 300
		config.IdleTimeout = 30 * monotime.Second
	})
	for _, every := range []monotime.Micros{500, 60, 500} {
		tr.note(fmt.Sprintf("40 callers, a request every %d ms", every))
		for end := tr.now + 12*monotime.Second; tr.now < end; {
			tr.backend.arrivals.recent.add(tr.now, 1)
			tr.advance(every, 0.5, 1)
		}
	}
	tr.compare()
}

// In saturation idle connections stay open, because requests on new connections would rarely be admitted.
func TestSaturationKeepsIdleConnectionsOpen(t *testing.T) {
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
			tr.backend.Decide(tr.now, arrived, nil)
			tr.backend.Decide(tr.now, Finished{ID: arrived.ID, Outcome: OK}, nil)
		}
		tr.advance(200, 1, 1)
	}
	tr.note("infrequent callers")
	tr.advance(3000, 1, 4)
	tr.note("80% of the requests are rejected, then ten tasks occupy the cores: neither is saturation")
	for range 5 {
		readFor200ms(16, 20)
	}
	tr.advance(30_000, 1, 10)
	tr.advance(10_000, 1, 1)
	tr.note("eight requests, all rejected: too few for saturation")
	readFor200ms(8, 8)
	tr.advance(30_000, 1, 1)
	tr.note("19 of 20 requests are rejected: saturation; then no request for more than a minute")
	readFor200ms(19, 20)
	tr.advance(70_000, 1, 1)
	tr.compare()
}
