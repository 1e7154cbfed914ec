package degradation

import (
	"fmt"

	"milletbarrow/monotime"
)

// Change is one change of the level, as it is logged and recorded.
type Change struct {
	At       monotime.Micros
	From, To int     // numbers of levels; 0 is full service, 1 the mildest level
	Cause    string  // the terms that were met, or who overrides the level
	Collapse bool    // made sooner than ChangeInterval allows
	Signals  Signals // smoothed
}

// String prints a change as operators see it.
func (c Change) String() string {
	return fmt.Sprintf("%d to %d, collapse %t, %s; %v", c.From, c.To, c.Collapse, c.Cause, c.Signals)
}

// changeAllowed reports whether the level may change to another: none of the levels entered or left has changed within
// ChangeInterval, and the present one has been in force for its MinDuration. Time under a stronger level counts: after a
// recovery the next ones follow as fast as their exits and ramps allow.
func (c *Controller) changeAllowed(now monotime.Micros, to int) bool {
	for n := min(c.level, to) + 1; n <= max(c.level, to); n++ {
		if at := c.changedAt[n]; at != 0 && now-at < c.policy.ChangeInterval {
			return false
		}
	}
	return to > c.level || now-c.enteredAt[c.level] >= c.policy.Levels[c.level-1].MinDuration
}

// change puts another level in force.
func (c *Controller) change(now monotime.Micros, to int, cause string, collapse bool) Change {
	change := Change{At: now, From: c.level, To: to, Cause: cause, Collapse: collapse, Signals: c.smoothed}
	for n := min(c.level, to) + 1; n <= max(c.level, to); n++ {
		c.changedAt[n] = now
	}
	for n := c.level + 1; n <= to; n++ {
		c.enteredAt[n] = now
	}
	relapse := to > c.level && c.recoveredAt != 0 && now-c.recoveredAt < 2*c.policy.ChangeInterval
	if to < c.level {
		c.recoveredAt = now
	} else if !relapse {
		c.backoff = 0
	}
	c.level, c.leavingSince, c.noExitBefore = to, 0, now
	if relapse { // a collapse may enter it again at once, but it is not left again so soon
		c.extendBackoff(now)
	}
	return change
}
