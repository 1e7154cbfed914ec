package degradation

import (
	"testing"

	"milletbarrow/internal/fakes"
	"milletbarrow/monotime"
)

const second = monotime.Second

// billsPolicy is a policy of three levels whose entries are a queue of 1.5, 2 and 3.
const billingPolicy = `(ladder bills (every 60s) (ramp 20s) (pins 10m) (smooth (queue 1s))
	(level no-reprints
		(shed (operations reprint))
		(enter (any (queue 1.5 2s) (late 0.1 2s)))
		(exit (all (queue 1.1 10s) (late 0.05 10s)))
		(stay 60s))
	(level half-lookups
		(shed (operations lookup) (share 0.5))
		(enter (queue 2 2s))
		(exit (queue 1.4 10s))
		(stay 60s))
	(level payments-only
		(shed (operations lookup))
		(shed (rank-below 0.5))
		(enter (queue 3 2s))
		(exit (queue 1.8 10s))
		(stay 60s)))`

// tester is the part of testing.TB that rapid.T has as well.
type tester interface {
	Helper()
	Fatal(args ...any)
	Fatalf(format string, args ...any)
}

// mustParse parses a policy.
func mustParse(t tester, text string) *Policy {
	t.Helper()
	policy, _, err := ParsePolicy("ladder.sx", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return policy
}

// mustMakeShedder returns the shedder of a policy for the operations and tenants of a deployment.
func mustMakeShedder(t tester, policy string, operations, tenants []string, seed uint64) *Shedder {
	t.Helper()
	shedder, err := NewShedder(mustParse(t, policy), operations, tenants, seed)
	if err != nil {
		t.Fatal(err)
	}
	return shedder
}

// queueSignals returns signals with a queue and no late responses; the others are missing.
func queueSignals(queue float64) Signals {
	signals := allMissing()
	signals[Queue] = queue
	signals[Late] = 0
	return signals
}

// scenario runs a controller of billsPolicy on a clock of its own and prints what it does.
type scenario struct {
	trace      *fakes.Trace
	controller *Controller
	now        monotime.Micros
}

// newScenario begins a scenario at full service and prints its title.
func newScenario(t *testing.T, trace *fakes.Trace, title string) *scenario {
	t.Helper()
	trace.Say("%s", title)
	return &scenario{trace: trace, controller: NewController(mustParse(t, billingPolicy))}
}

// runUntil updates the controller with the same signals ten times a second up to a time, and prints the changes and the
// level at the end.
func (s *scenario) runUntil(end monotime.Micros, signals Signals) {
	const interval = 100 * monotime.Millisecond
	for ; s.now < end; s.now += interval {
		if change, changed := s.controller.Update(s.now, signals); changed {
			s.trace.Say("  %5.1f s: %v", s.now.Seconds(), change)
		}
	}
	s.trace.Say("  %5.1f s: level %d, depth %.2f", s.now.Seconds(), s.controller.Level(), s.controller.Depth(s.now))
}
