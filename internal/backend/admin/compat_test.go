package admin

import (
	"testing"

	"milletbarrow/internal/compattest"
)

// TestEarlierFormats: JSON that an earlier release wrote, with each field set, is read and written the same.
func TestEarlierFormats(t *testing.T) {
	compattest.RoundTrip[State](t, "State.json")
	compattest.RoundTrip[Override](t, "Pin.json")
	compattest.RoundTrip[Notice](t, "Notice.json")
}
