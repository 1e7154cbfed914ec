package fleet

import (
	"testing"

	"milletbarrow/internal/compattest"
)

// TestEarlierFormats: JSON that an earlier release wrote, with each field set, is read and written the same.
func TestEarlierFormats(t *testing.T) {
	compattest.RoundTrip[Sight](t, "Sight.json")
	compattest.RoundTrip[Instance](t, "Instance.json")
	compattest.RoundTrip[Step](t, "Step.json")
	compattest.RoundTrip[Note](t, "Note.json")
	compattest.RoundTrip[Command](t, "Command.json")
	compattest.RoundTrip[PlanStep](t, "PlanStep.json")
	compattest.RoundTrip[Spec](t, "Spec.json")
}
