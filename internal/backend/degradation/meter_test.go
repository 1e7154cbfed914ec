package degradation

import (
	"math"
	"testing"
)

// TestUnknownSignalsAreMissing checks that fractions of too few events are missing, and so are gauges that are unknown
// or negative.
func TestUnknownSignalsAreMissing(t *testing.T) {
	m := NewSignalMeter(2)
	m.SetWarmingUntil(2 * second)
	for range 3 {
		m.Count(second, Arrivals)
	}
	m.Count(second, Rejections)
	s := m.Signals(second, -1, 0.5, 0.25, true)
	if !math.IsNaN(s[Rejected]) || !math.IsNaN(s[Queue]) || s[Cores] != 0.5 || s[Memory] != 0.25 ||
		s[WarmingUp] != 1 || s[Unknown] != 0 {
		t.Errorf("three arrivals: %v", s)
	}
	m.Count(second, Arrivals)
	m.SetDraining()
	s = m.Signals(second, 3, 0.5, 0.25, true)
	if s[Rejected] != 0.25 || s[Queue] != 1.5 || s[Draining] != 1 {
		t.Errorf("four arrivals: %v", s)
	}
	s = m.Signals(2*second, 3, 0.5, 0.25, false)
	if !math.IsNaN(s[Queue]) || !math.IsNaN(s[Cores]) || !math.IsNaN(s[Memory]) ||
		s[Unknown] != 1 || s[WarmingUp] != 0 {
		t.Errorf("unknown gauges: %v", s)
	}
}
