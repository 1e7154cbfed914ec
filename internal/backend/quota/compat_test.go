package quota

import (
	"testing"

	"milletbarrow/internal/compattest"
)

// TestEarlierFormats checks that JSON written by an earlier release, with each field set, is decoded and encoded again
// without a difference.
func TestEarlierFormats(t *testing.T) {
	compattest.RoundTrip[LeaseRequest](t, "Ask.json")
	compattest.RoundTrip[LeaseResponse](t, "Answer.json")
	compattest.RoundTrip[Status](t, "View.json")
}
