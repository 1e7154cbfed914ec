package coldstart

import (
	"testing"

	"milletbarrow/internal/compattest"
)

// TestEarlierFormats checks that JSON of an earlier release with every field set is read, and written in the same form.
func TestEarlierFormats(t *testing.T) {
	compattest.RoundTrip[State](t, "State.json")
}
