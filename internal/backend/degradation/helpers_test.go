package degradation

import (
	"testing"

	"milletbarrow/internal/fakes"
	"milletbarrow/monotime"
)

const second = monotime.Second

// billingPolicy is a policy of three levels whose entry thresholds of the queue are 1.5, 2 and 3.
const billingPolicy = `(degradation billing
	(change-interval 60s) (recovery-ramp 20s) (max-override 10m) (smoothing (queue 1s))
	(level no-reprints
		(shed (operations reprint))
		(enter (any (queue 1.5 2s) (late 0.1 2s)))
		(exit (all (queue 1.1 10s) (late 0.05 10s)))
		(min-duration 60s))
	(level half-lookups
		(shed (operations lookup) (share 0.5))
		(enter (queue 2 2s))
		(exit (queue 1.4 10s))
		(min-duration 60s))
	(level payments-only
		(shed (operations lookup))
		(shed (priority-below 0.5))
		(enter (queue 3 2s))
		(exit (queue 1.8 10s))
		(min-duration 60s)))`

// tester is the subset of testing.TB that rapid.T also implements.
type tester interface {
	Helper()
	Fatal(args ...any)
	Fatalf(format string, args ...any)
}

// mustParse parses a valid policy.
func mustParse(t tester, text string) *Policy {
	t.Helper()
	policy, _, err := ParsePolicy("policy.sx", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return policy
}

// mustMakeShedder returns the shedder of a valid policy for the operations and tenants of a deployment.
func mustMakeShedder(t tester, policy string, operations, tenants []string, seed uint64) *Shedder {
	t.Helper()
	shedder, err := NewShedder(mustParse(t, policy), operations, tenants, seed)
	if err != nil {
		t.Fatal(err)
	}
	return shedder
}

// queueSignals returns signals with the given queue and no late responses. All other signals are missing.
func queueSignals(queue float64) Signals {
	signals := allMissing()
	signals[Queue] = queue
	signals[Late] = 0
	return signals
}

// scenario runs a controller of billingPolicy on a simulated clock and prints its decisions to a trace.
type scenario struct {
	trace      *fakes.Trace
	controller *Controller
	now        monotime.Micros
}

// newScenario starts a scenario at full service and prints its title.
func newScenario(t *testing.T, trace *fakes.Trace, title string) *scenario {
	t.Helper()
	trace.Say("%s", title)
	return &scenario{trace: trace, controller: NewController(mustParse(t, billingPolicy))}
}

// runUntil passes the same signals to the controller ten times a second up to a time. It prints the changes, and the
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
