package degradation

import (
	"errors"
	"testing"

	"milletbarrow/monotime"
)

// TestOverrideOutOfBoundsIsRefused checks that an override is refused unless its level is one of the policy and its end
// is in the future, within MaxOverride.
func TestOverrideOutOfBoundsIsRefused(t *testing.T) {
	const now = 100 * second
	const maxOverride = 600 * second // of billingPolicy
	c := NewController(mustParse(t, billingPolicy))
	for _, test := range []struct {
		name    string
		level   int
		until   monotime.Micros
		allowed bool
	}{
		{"level below full service", -1, now + second, false},
		{"full service", 0, now + second, true},
		{"strongest level", 3, now + second, true},
		{"level beyond the strongest", 4, now + second, false},
		{"ends in the past", 1, now - 1, false},
		{"ends now", 1, now, false},
		{"longest duration", 1, now + maxOverride, true},
		{"longer than the longest duration", 1, now + maxOverride + 1, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			err := c.Override(now, test.level, test.until, "operator", false)
			if (err == nil) != test.allowed {
				t.Fatalf("error %v, allowed %t", err, test.allowed)
			}
			if overrideErr := (*OverrideError)(nil); !test.allowed && !errors.As(err, &overrideErr) {
				t.Errorf("error %v is no *OverrideError", err)
			}
		})
	}
}
