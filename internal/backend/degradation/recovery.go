package degradation

import (
	"fmt"
	"strings"

	"milletbarrow/monotime"
)

const (
	// maxBackoffIntervals is the upper bound of the backoff, in multiples of ChangeInterval.
	maxBackoffIntervals = 8
	// backoffFactor is the factor by which each aborted recovery or relapse extends the backoff.
	backoffFactor = 2
	// relapseIntervals is the time after a recovery, in multiples of ChangeInterval, within which entering a level
	// counts as a relapse.
	relapseIntervals = 2
)

// updateRecovery starts the recovery ramp when the exit condition of the level in force is met, aborts it when a signal
// of that condition worsens, and leaves the level when the ramp ends.
func (c *Controller) updateRecovery(now monotime.Micros) (change Change, changed bool) {
	if c.level == 0 || c.override.active() && c.level <= c.override.level {
		c.rampStartedAt = 0
		return change, false
	}
	level := c.policy.Levels[c.level-1]
	if c.rampStartedAt == 0 {
		if !c.recoveryMayStart(now, level) {
			return change, false
		}
		c.rampStartedAt = now
		if c.policy.RecoveryRamp > 0 {
			return change, false
		}
		return c.leaveLevel(now, level), true
	}
	if c.exitSignalWorsened(level) {
		c.rampStartedAt = 0
		c.extendBackoff(now)
		return change, false
	}
	if now-c.rampStartedAt >= c.policy.RecoveryRamp {
		return c.leaveLevel(now, level), true
	}
	return change, false
}

// recoveryMayStart reports whether the exit condition of the level in force is met, and none of the backoff,
// ChangeInterval and MinDuration delays leaving it.
func (c *Controller) recoveryMayStart(now monotime.Micros, level Level) bool {
	_, exitMet := c.conditionMet(level.Exit, c.exitHeldSince[c.level-1])
	return exitMet && now >= c.earliestRecovery && c.changeAllowed(now, c.level-1)
}

// leaveLevel puts the next milder level in force.
func (c *Controller) leaveLevel(now monotime.Micros, level Level) Change {
	return c.changeLevel(now, c.level-1, "recovered: "+c.exitSignals(level), false)
}

// extendBackoff delays the next recovery by an exponential backoff of at least one ChangeInterval.
func (c *Controller) extendBackoff(now monotime.Micros) {
	interval := c.policy.ChangeInterval
	c.backoff = min(max(backoffFactor*c.backoff, interval), maxBackoffIntervals*interval)
	c.earliestRecovery = now + c.backoff
}

// exitSignalWorsened reports whether a signal that both the entry and the exit condition of the level use has risen to
// the midpoint of the two thresholds, or is missing.
func (c *Controller) exitSignalWorsened(level Level) bool {
	const thresholds = 2 // entry and exit, which the midpoint averages
	for _, exit := range level.Exit.Terms {
		entry, inEntry := level.Enter.threshold(exit.Signal)
		midpoint := (entry + exit.Value) / thresholds
		recovered := c.smoothed[exit.Signal] < midpoint // false for a missing signal, a NaN
		if inEntry && !recovered {
			return true
		}
	}
	return false
}

// exitSignals formats the signals of the level's exit condition.
func (c *Controller) exitSignals(level Level) string {
	signals := make([]string, 0, len(level.Exit.Terms))
	for _, term := range level.Exit.Terms {
		signals = append(signals, fmt.Sprintf("%s %.3g", term.Signal, c.smoothed[term.Signal]))
	}
	return strings.Join(signals, ", ")
}
