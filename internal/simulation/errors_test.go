package simulation

import (
	"errors"
	"strings"
	"testing"
)

// TestErrorsNameInvalidFieldPolicyAndLine checks that callers can distinguish an invalid scenario, an unknown policy
// and an invalid recorded load by type, and that the errors contain the field, the name and the line.
func TestErrorsNameInvalidFieldPolicyAndLine(t *testing.T) {
	day := shortDay()
	day.Hosts.Count = 0
	var scenario *ScenarioError
	if err := day.Check(); !errors.As(err, &scenario) || scenario.Field != "hosts.count" || scenario.Scenario != day.Name {
		t.Errorf("Check: %#v", err)
	}
	var policy *UnknownPolicyError
	if _, err := PolicyNamed("wrong"); !errors.As(err, &policy) || policy.Name != "wrong" || len(policy.Known) != len(Policies()) {
		t.Errorf("PolicyNamed: %#v", err)
	}
	day = shortDay()
	var recorded *RecordedError
	in := "# microseconds operation tenant work\n10 lookup - 500\n20 unknown - 500\n"
	if _, err := ReadRecorded("load.txt", strings.NewReader(in), &day); !errors.As(err, &recorded) || recorded.Line != 3 || recorded.Column != 1 {
		t.Errorf("ReadRecorded: %#v", err)
	} else if want := `load.txt:3:1: the scenario has no operation "unknown"`; err.Error() != want {
		t.Errorf("%v, wanted %s", err, want)
	}
}
