package process

import (
	"testing"

	"milletbarrow/internal/compattest"
)

// TestEarlierFormats checks that JSON of an earlier release, with each field set, is decoded and encoded unchanged.
func TestEarlierFormats(t *testing.T) {
	compattest.RoundTrip[Identity](t, "Identity.json")
}
