package monotime

import (
	"math"
	"testing"
	"time"
)

func TestFromMilliseconds(t *testing.T) {
	for _, test := range []struct {
		name string
		ms   float64
		want Micros
	}{
		{"rounded up", 0.0005, 1},
		{"rounded down", 0.0004, 0},
		{"negative", -1.5, -1500},
		{"largest", 1e12, 1e15},
		{"beyond the largest", 1e13, 1e15},
		{"infinite", math.Inf(1), 1e15},
		{"negatively infinite", math.Inf(-1), -1e15},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := FromMilliseconds(test.ms); got != test.want {
				t.Errorf("FromMilliseconds(%v) = %d, want %d", test.ms, got, test.want)
			}
		})
	}
}

func TestDurationsAreTruncatedToMicroseconds(t *testing.T) {
	if got := FromDuration(1999 * time.Nanosecond); got != 1 {
		t.Errorf("FromDuration(1999ns) = %d, want 1", got)
	}
	if got := (2 * Second).Duration(); got != 2*time.Second {
		t.Errorf("Duration() = %v, want 2s", got)
	}
	if got := (1500 * Millisecond).Seconds(); got != 1.5 {
		t.Errorf("Seconds() = %v, want 1.5", got)
	}
}
