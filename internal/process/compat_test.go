package process

import (
	"testing"

	"milletbarrow/internal/compattest"
)

// TestEarlierFormats holds that JSON that an earlier release wrote, with each field set, is read and written the same.
func TestEarlierFormats(t *testing.T) {
	compattest.RoundTrip[Identity](t, "Identity.json")
}
