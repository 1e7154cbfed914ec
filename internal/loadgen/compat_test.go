package loadgen

import (
	"testing"

	"milletbarrow/internal/compattest"
)

// TestEarlierFormats checks that a report of an earlier release, with each field set, is read and written alike.
func TestEarlierFormats(t *testing.T) {
	compattest.RoundTrip[Report](t, "Report.json")
}
