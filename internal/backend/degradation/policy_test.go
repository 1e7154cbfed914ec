package degradation

import (
	"testing"

	"milletbarrow/internal/fakes"
)

// TestPoliciesAreExplainedOrRejected compares the explanation of a policy and the errors of invalid policies with the
// recorded ones. The invalid policies use former names; errors have the current ones.
func TestPoliciesAreExplainedOrRejected(t *testing.T) {
	trace := fakes.NewTrace(t)
	trace.Say("%s", mustParse(t, billingPolicy).Explain())
	for _, text := range []string{
		"(ladder x)",
		"(steps x)",
		"(ladder x (level a))",
		"(ladder x (level a (shed) (enter (queue 1 1s)) (exit (queue 1 1s))))",
		"(ladder x (level a (shed) (enter (queue 1)) (exit (queue 0.95))))",
		"(ladder x (level a (shed) (enter (queue 1)) (exit (late 0.1))))",
		"(ladder x (level full (shed (share 2)) (enter (any (queue 1) (load 3))) (exit (queue 0.5 1y))))",
		"(ladder x (level a (shed) (enter (queue 2)) (exit (queue 1)))" +
			" (level b (shed) (enter (queue 1.5)) (exit (queue 1))))",
		"(ladder x (level a (shed) (enter (cold 1)) (exit (cold 0.5))))",
		"(ladder x (level a (shed) (enter (queue 1)) (exit (queue 0.5)))" +
			" (level a (shed) (enter (queue 2)) (exit (queue 1))))",
	} {
		_, _, err := ParsePolicy("l", []byte(text))
		trace.Say("%s\n%v", text, err)
	}
	_, err := NewShedder(mustParse(t, billingPolicy), []string{"reprint"}, nil, 1)
	trace.Say("%v", err)
}
