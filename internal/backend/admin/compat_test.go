package admin

import (
	"testing"

	"milletbarrow/internal/compattest"
)

// JSON with each field set that an earlier release wrote is decoded and encoded without a difference.
func TestEarlierFormats(t *testing.T) {
	compattest.RoundTrip[State](t, "State.json")
	compattest.RoundTrip[Override](t, "Pin.json")
	compattest.RoundTrip[Notice](t, "Notice.json")
}
