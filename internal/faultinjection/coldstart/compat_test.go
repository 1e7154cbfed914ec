package coldstart

import (
	"testing"

	"milletbarrow/internal/compattest"
)

// TestFiguresKeepEarlierFormat verifies that figures of an earlier release, with each field set, are read and written
// back unchanged.
func TestFiguresKeepEarlierFormat(t *testing.T) {
	compattest.RoundTrip[Figures](t, "Figures.json")
}
