package loadgen

import (
	"testing"

	"milletbarrow/internal/compattest"
)

// TestEarlierFormats checks that a report of an earlier release, with every field set, is decoded and encoded
// unchanged.
func TestEarlierFormats(t *testing.T) {
	compattest.RoundTrip[Report](t, "Report.json")
}
