package degradation

import (
	"fmt"
	"strings"

	"milletbarrow/monotime"
)

const (
	// maxBackoffIntervals is the longest backoff, in ChangeIntervals.
	maxBackoffIntervals = 8
	// backoffFactor is the growth of the backoff from one aborted recovery or relapse to the next.
	backoffFactor = 2
	// relapseIntervals is the time after a recovery, in ChangeIntervals, within which an entry is a relapse.
	relapseIntervals = 2
)

// updateRecovery leaves the level over RecoveryRamp once its exit is met, and aborts the ramp as soon as a signal
// worsens.
func (c *Controller) updateRecovery(now monotime.Micros) (change Change, changed bool) {
	if c.level == 0 || c.override.active() && c.level <= c.override.level {
		c.leavingSince = 0
		return change, false
	}
	level := c.policy.Levels[c.level-1]
	if c.leavingSince == 0 {
		if !c.recoveryMayStart(now, level) {
			return change, false
		}
		c.leavingSince = now
		if c.policy.RecoveryRamp > 0 {
			return change, false
		}
		return c.leaveLevel(now, level), true
	}
	if c.worsens(level) {
		c.leavingSince = 0
		c.extendBackoff(now)
		return change, false
	}
	if now-c.leavingSince >= c.policy.RecoveryRamp {
		return c.leaveLevel(now, level), true
	}
	return change, false
}

// recoveryMayStart reports whether the exit of the level in force is met, and neither a backoff nor an interval delays
// leaving it.
func (c *Controller) recoveryMayStart(now monotime.Micros, level Level) bool {
	_, exitMet := c.conditionMet(level.Exit, c.exitSince[c.level-1])
	return exitMet && now >= c.noExitBefore && c.changeAllowed(now, c.level-1)
}

// leaveLevel puts the next milder level in force.
func (c *Controller) leaveLevel(now monotime.Micros, level Level) Change {
	return c.changeLevel(now, c.level-1, "recovered: "+c.exitSignals(level), false)
}

// extendBackoff delays the next recovery, each time for longer.
func (c *Controller) extendBackoff(now monotime.Micros) {
	interval := c.policy.ChangeInterval
	c.backoff = min(max(backoffFactor*c.backoff, interval), maxBackoffIntervals*interval)
	c.noExitBefore = now + c.backoff
}

// worsens reports whether a signal of the level's exit has risen to the middle between exit and entry, or is missing.
func (c *Controller) worsens(level Level) bool {
	const thresholds = 2 // averaged: entry and exit
	for _, exit := range level.Exit.Terms {
		entry, both := level.Enter.threshold(exit.Signal)
		middle := (entry + exit.Value) / thresholds
		recovered := c.smoothed[exit.Signal] < middle // false for a missing signal, a NaN
		if both && !recovered {
			return true
		}
	}
	return false
}

// exitSignals prints the signals of the level's exit.
func (c *Controller) exitSignals(level Level) string {
	signals := make([]string, 0, len(level.Exit.Terms))
	for _, term := range level.Exit.Terms {
		signals = append(signals, fmt.Sprintf("%s %.3g", term.Signal, c.smoothed[term.Signal]))
	}
	return strings.Join(signals, ", ")
}
