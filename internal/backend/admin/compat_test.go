package admin

import (
	"testing"

	"milletbarrow/internal/compattest"
)

// JSON from an earlier release, with every field set, is decoded and encoded without a difference.
func TestEarlierFormats(t *testing.T) {
	compattest.RoundTrip[State](t, "State.json")
	compattest.RoundTrip[Override](t, "Pin.json")
	compattest.RoundTrip[Notice](t, "Notice.json")
}
