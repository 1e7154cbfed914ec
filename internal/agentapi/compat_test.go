package agentapi

import (
	"testing"

	"milletbarrow/internal/compattest"
)

// TestEarlierFormats checks that JSON that an earlier release wrote, with each field set, is read and written the same.
func TestEarlierFormats(t *testing.T) {
	compattest.RoundTrip[CommandRequest](t, "Order.json")
	compattest.RoundTrip[Status](t, "Status.json")
	compattest.RoundTrip[StreamEvent](t, "Line.json")
	compattest.RoundTrip[Budgets](t, "Budgets.json")
}
