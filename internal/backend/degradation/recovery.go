package degradation

import (
	"fmt"
	"strings"

	"milletbarrow/monotime"
)

// recover leaves the level over RecoveryRamp once its exit is met, and aborts that as soon as a signal worsens.
func (c *Controller) recover(now monotime.Micros) (change Change, changes bool) {
	if c.level == 0 || c.override.until != 0 && c.level <= c.override.level {
		c.leavingSince = 0
		return change, false
	}
	level := c.policy.Levels[c.level-1]
	if c.leavingSince != 0 {
		if c.worsens(level) {
			c.leavingSince = 0
			c.extendBackoff(now)
			return change, false
		}
		if now-c.leavingSince >= c.policy.RecoveryRamp {
			return c.change(now, c.level-1, "recovered: "+c.exitSignals(level), false), true
		}
		return change, false
	}
	if _, ok := c.conditionMet(level.Exit, c.exitSince[c.level-1]); ok && now >= c.noExitBefore && c.changeAllowed(now, c.level-1) {
		c.leavingSince = now
		if c.policy.RecoveryRamp == 0 {
			return c.change(now, c.level-1, "recovered: "+c.exitSignals(level), false), true
		}
	}
	return change, false
}

// maxBackoff is the longest backoff, in ChangeIntervals.
const maxBackoff = 8

// extendBackoff delays the next recovery, each time for twice as long.
func (c *Controller) extendBackoff(now monotime.Micros) {
	c.backoff = min(max(2*c.backoff, c.policy.ChangeInterval), maxBackoff*c.policy.ChangeInterval)
	c.noExitBefore = now + c.backoff
}

// worsens reports whether a signal of the level's exit has risen half way back to the entry, or is missing.
func (c *Controller) worsens(level Level) bool {
	for _, t := range level.Exit.Terms {
		entry, both := level.Enter.threshold(t.Signal)
		if recovered := c.smoothed[t.Signal] < (entry+t.Value)/2; both && !recovered { // a missing signal is NaN: not recovered
			return true
		}
	}
	return false
}

// exitSignals prints the signals of the level's exit.
func (c *Controller) exitSignals(level Level) string {
	signals := make([]string, 0, len(level.Exit.Terms))
	for _, t := range level.Exit.Terms {
		signals = append(signals, fmt.Sprintf("%s %.3g", t.Signal, c.smoothed[t.Signal]))
	}
	return strings.Join(signals, ", ")
}
