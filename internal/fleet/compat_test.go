package fleet

import (
	"testing"

	"milletbarrow/internal/compattest"
)

// TestEarlierFormats: JSON that an earlier release wrote, with each field set, is read and written the same.
func TestEarlierFormats(t *testing.T) {
	compattest.RoundTrip[Observation](t, "Sight.json")
	compattest.RoundTrip[Instance](t, "Instance.json")
	compattest.RoundTrip[Action](t, "Step.json")
	compattest.RoundTrip[HistoryEvent](t, "Note.json")
	compattest.RoundTrip[Command](t, "Command.json")
	compattest.RoundTrip[PlanStep](t, "PlanStep.json")
	compattest.RoundTrip[Spec](t, "Spec.json")
}
