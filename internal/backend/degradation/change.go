package degradation

import (
	"fmt"

	"milletbarrow/monotime"
)

// Change is a transition of the level in force, as it is logged and recorded.
type Change struct {
	At       monotime.Micros
	From     int     // number of the former level; 0 is full service, 1 the mildest level
	To       int     // number of the new level
	Cause    string  // the terms that were met, or the operator of the override
	Collapse bool    // the transition did not wait for ChangeInterval
	Signals  Signals // smoothed values at the transition
}

// String formats a change for operators and traces.
func (c Change) String() string {
	return fmt.Sprintf("%d to %d, collapse %t, %s; %v", c.From, c.To, c.Collapse, c.Cause, c.Signals)
}

// changeAllowed reports whether the controller may change to level to: no level on the way was entered or left within
// ChangeInterval, and a level to be left has been in force for its MinDuration. Time spent below a stronger level
// counts towards MinDuration, so that successive recoveries are limited only by their exit conditions and ramps.
func (c *Controller) changeAllowed(now monotime.Micros, to int) bool {
	for level := min(c.level, to) + 1; level <= max(c.level, to); level++ {
		if at := c.changedAt[level]; at != 0 && now-at < c.policy.ChangeInterval {
			return false
		}
	}
	return to > c.level || now-c.enteredAt[c.level] >= c.policy.Levels[c.level-1].MinDuration
}

// changeLevel puts level to in force and updates the times and the backoff that depend on the transition.
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
	c.rampStartedAt = 0
	c.earliestRecovery = now
	if relapse { // a collapse may re-enter a level without delay, so the delay applies to the next recovery
		c.extendBackoff(now)
	}
	return change
}
