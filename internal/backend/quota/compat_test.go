package quota

import (
	"testing"

	"milletbarrow/internal/compattest"
)

// TestEarlierFormats checks that JSON that an earlier release wrote, with each field set, is read and written the same.
func TestEarlierFormats(t *testing.T) {
	compattest.RoundTrip[LeaseRequest](t, "Ask.json")
	compattest.RoundTrip[LeaseResponse](t, "Answer.json")
	compattest.RoundTrip[Status](t, "View.json")
}
