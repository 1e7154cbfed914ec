package degradation

import (
	"fmt"

	"milletbarrow/monotime"
)

// Change is one change of the level, as it is logged and recorded.
type Change struct {
	At       monotime.Micros
	From     int     // number of the former level; 0 is full service, 1 the mildest level
	To       int     // number of the new level
	Cause    string  // the terms that were met, or who overrides the level
	Collapse bool    // true if the change did not wait for ChangeInterval
	Signals  Signals // smoothed
}

// String prints a change as operators see it.
func (c Change) String() string {
	return fmt.Sprintf("%d to %d, collapse %t, %s; %v", c.From, c.To, c.Collapse, c.Cause, c.Signals)
}

// changeAllowed reports whether the level may change to another: none of the levels between them was entered or left
// within ChangeInterval, and the present one has been in force for its MinDuration. Time under a stronger level counts:
// after a recovery the next ones follow as fast as their exits and ramps allow.
func (c *Controller) changeAllowed(now monotime.Micros, to int) bool {
	for level := min(c.level, to) + 1; level <= max(c.level, to); level++ {
		if at := c.changedAt[level]; at != 0 && now-at < c.policy.ChangeInterval {
			return false
		}
	}
	return to > c.level || now-c.enteredAt[c.level] >= c.policy.Levels[c.level-1].MinDuration
}

// changeLevel puts another level in force.
func (c *Controller) changeLevel(now monotime.Micros, to int, cause string, collapse bool) Change {
	change := Change{At: now, From: c.level, To: to, Cause: cause, Collapse: collapse, Signals: c.smoothed}
	for level := min(c.level, to) + 1; level <= max(c.level, to); level++ {
		c.changedAt[level] = now
	}
	for level := c.level + 1; level <= to; level++ {
		c.enteredAt[level] = now
	}
	relapse := to > c.level && c.recoveredAt != 0 && now-c.recoveredAt < relapseIntervals*c.policy.ChangeInterval
	if to < c.level {
		c.recoveredAt = now
	} else if !relapse {
		c.backoff = 0
	}
	c.level = to
	c.leavingSince = 0
	c.noExitBefore = now
	if relapse { // a collapse may enter the level again at once, but it is not left again so soon
		c.extendBackoff(now)
	}
	return change
}
