package quota

import (
	"testing"

	"milletbarrow/internal/compattest"
)

// TestEarlierFormats checks that JSON of an earlier release with every field set is read, and written in the same form.
func TestEarlierFormats(t *testing.T) {
	compattest.RoundTrip[Command](t, "Command.json")
	compattest.RoundTrip[State](t, "Ledger.json")
	compattest.RoundTrip[Result](t, "Result.json")
	compattest.RoundTrip[Status](t, "View.json")
}
