package membership

import (
	"testing"

	"milletbarrow/internal/compattest"
)

// TestEarlierFormats checks that JSON that an earlier release wrote, with each field set, is read and written the same.
func TestEarlierFormats(t *testing.T) {
	compattest.RoundTrip[Member](t, "Seen.json")
}
