package membership

import (
	"testing"

	"milletbarrow/internal/compattest"
)

// TestEarlierFormats checks that JSON of an earlier release, with each field set, is decoded and encoded to the same.
func TestEarlierFormats(t *testing.T) {
	compattest.RoundTrip[Member](t, "Seen.json")
}
