package degradation

import (
	"fmt"
	"math"
	"strings"

	"milletbarrow/monotime"
)

// maxGap is the longest time between updates; after a longer one nothing is known of the time between. A clock that jumps
// ahead looks the same, and one that goes back stops everything until it is where it was.
const maxGap monotime.Micros = 2_000_000

// smooth smooths the signals. One that was missing starts from its first value; one that is missing is so at once.
func (c *Controller) smooth(now monotime.Micros, s Signals) {
	gap := now - c.lastUpdate
	for i := range s {
		over := float64(c.policy.Smoothing[i])
		switch {
		case math.IsNaN(s[i]):
			c.smoothed[i] = Missing
		case math.IsNaN(c.smoothed[i]) || over == 0 || c.lastUpdate == 0 || gap > maxGap:
			c.smoothed[i] = s[i]
		default:
			c.smoothed[i] += (s[i] - c.smoothed[i]) * (1 - math.Exp(-float64(gap)/over))
		}
	}
	if c.lastUpdate != 0 && gap > maxGap { // nothing is known of the time between: spans start anew
		for n := range c.entrySince {
			clear(c.entrySince[n])
			clear(c.exitSince[n])
		}
	}
	c.lastUpdate = now
}

// trackTerms records since when each term holds. No term of a missing signal does.
func (c *Controller) trackTerms(now monotime.Micros) {
	for n, level := range c.policy.Levels {
		for i, t := range level.Enter.Terms {
			trackSince(&c.entrySince[n][i], now, c.smoothed[t.Signal] >= t.Value)
		}
		for i, t := range level.Exit.Terms {
			trackSince(&c.exitSince[n][i], now, c.smoothed[t.Signal] < t.Value)
		}
	}
}

func trackSince(since *monotime.Micros, now monotime.Micros, holds bool) {
	if !holds {
		*since = 0
	} else if *since == 0 {
		*since = now
	}
}

// conditionMet returns whether a condition is met, and the terms that are.
func (c *Controller) conditionMet(cond Condition, since []monotime.Micros) (string, bool) {
	var met []string
	for i, t := range cond.Terms {
		if since[i] != 0 && c.lastUpdate-since[i] >= t.For {
			met = append(met, fmt.Sprintf("%s %.3g", t.Signal, c.smoothed[t.Signal]))
		}
	}
	if cond.Any && len(met) > 0 || len(met) == len(cond.Terms) {
		return strings.Join(met, ", "), true
	}
	return "", false
}

// worstEntered returns the highest level whose entry is met, and by which terms.
func (c *Controller) worstEntered() (to int, cause string) {
	for n := len(c.policy.Levels) - 1; n >= c.level; n-- {
		if terms, ok := c.conditionMet(c.policy.Levels[n].Enter, c.entrySince[n]); ok {
			return n + 1, terms
		}
	}
	return c.level, ""
}

// collapseFactor times the value of a term of the next level's entry is a collapse.
const collapseFactor = 1.5

// isCollapse reports whether a signal is far beyond the next level's entry. Then ChangeInterval does not delay the change.
func (c *Controller) isCollapse() bool {
	if c.level == len(c.policy.Levels) {
		return false
	}
	for _, t := range c.policy.Levels[c.level].Enter.Terms {
		if c.smoothed[t.Signal] >= collapseFactor*t.Value && t.Value > 0 {
			return true
		}
	}
	return false
}
