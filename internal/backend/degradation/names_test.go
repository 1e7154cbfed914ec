package degradation

import (
	"encoding/json"
	"os"
	"testing"

	"github.com/google/go-cmp/cmp"

	"milletbarrow/internal/compattest"
	"milletbarrow/internal/sexpr"
)

// policyWithAllNames uses every current name that replaced a former one.
const policyWithAllNames = `(degradation d (change-interval 40s) (recovery-ramp 7s) (max-override 2h)
  (smoothing (rejected 300ms) (infeasible 2s) (warming-up 3s))
  (level a (shed (operations x) (priority-below 0.5)) (min-duration 20s)
    (enter (any (rejected 0.3 1s) (infeasible 0.2) (warming-up 1)))
    (exit (all (rejected 0.1 2s) (infeasible 0.1) (warming-up 0.5))))
  (level b (shed (operations y)) (enter (rejected 0.4)) (exit (rejected 0.2)))
  (level c (shed (operations z)) (enter (infeasible 0.4)) (exit (infeasible 0.2)))
  (level d (shed (operations w)) (enter (rejected 0.5) (infeasible 0.4) (warming-up 1))
    (exit (rejected 0.2) (infeasible 0.1) (warming-up 0.5))))`

// TestFormerNamesInPolicy checks that a policy with a former name decodes to the same value, with a warning.
func TestFormerNamesInPolicy(t *testing.T) {
	compattest.FormerNames(t, formerPolicyNames, policyWithAllNames, func(src []byte) (any, []sexpr.Warning, error) {
		policy, warnings, err := ParsePolicy("policy.sx", src)
		return policy, warnings, err
	})
}

// TestExampleOfEarlierReleaseDecodesAlike checks that the example policy of release 6251f7b decodes to the same value
// as the current one, with warnings about its former names.
func TestExampleOfEarlierReleaseDecodesAlike(t *testing.T) {
	read := func(path string) (string, []sexpr.Warning) {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		policy, warnings, err := ParsePolicy("policy.sx", text)
		if err != nil {
			t.Fatal(err)
		}
		encoded, err := json.MarshalIndent(policy, "", " ")
		if err != nil {
			t.Fatal(err)
		}
		return string(encoded), warnings
	}
	earlier, earlierWarnings := read("testdata/6251f7b/ladder.sx")
	current, warnings := read("../../../deploy/degradation.sx")
	if diff := cmp.Diff(earlier, current); diff != "" {
		t.Error(diff)
	}
	if len(earlierWarnings) == 0 || len(warnings) != 0 {
		t.Errorf("%d warnings about the earlier file, %d about the current one", len(earlierWarnings), len(warnings))
	}
}
