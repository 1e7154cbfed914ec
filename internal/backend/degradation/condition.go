package degradation

import (
	"fmt"
	"strings"

	"milletbarrow/monotime"
)

// collapseFactor is the ratio of a signal to its entry threshold of the next level from which the transition does not
// wait for ChangeInterval.
const collapseFactor = 1.5

// updateTermTimes records since when each term of each condition holds. A term of a missing signal does not hold.
func (c *Controller) updateTermTimes(now monotime.Micros) {
	for n, level := range c.policy.Levels {
		for i, term := range level.Enter.Terms {
			updateHeldSince(&c.entryHeldSince[n][i], now, c.smoothed[term.Signal] >= term.Value)
		}
		for i, term := range level.Exit.Terms {
			updateHeldSince(&c.exitHeldSince[n][i], now, c.smoothed[term.Signal] < term.Value)
		}
	}
}

// updateHeldSince updates the start of the time for which a term holds; 0 means that it does not hold.
func updateHeldSince(heldSince *monotime.Micros, now monotime.Micros, holds bool) {
	if !holds {
		*heldSince = 0
	} else if *heldSince == 0 {
		*heldSince = now
	}
}

// resetTermTimes marks all terms as not holding.
func (c *Controller) resetTermTimes() {
	for n := range c.entryHeldSince {
		clear(c.entryHeldSince[n])
		clear(c.exitHeldSince[n])
	}
}

// conditionMet reports whether a condition is met, and formats the terms that are met. heldSince has the time since
// when each term holds.
func (c *Controller) conditionMet(condition Condition, heldSince []monotime.Micros) (terms string, met bool) {
	var metTerms []string
	for i, term := range condition.Terms {
		if heldSince[i] != 0 && c.lastUpdate-heldSince[i] >= term.For {
			metTerms = append(metTerms, fmt.Sprintf("%s %.3g", term.Signal, c.smoothed[term.Signal]))
		}
	}
	if condition.Any && len(metTerms) > 0 || len(metTerms) == len(condition.Terms) {
		return strings.Join(metTerms, ", "), true
	}
	return "", false
}

// strongestEntered returns the strongest level whose entry condition is met, with the terms that are met. It returns
// the level in force if no stronger one qualifies.
func (c *Controller) strongestEntered() (level int, terms string) {
	for n := len(c.policy.Levels) - 1; n >= c.level; n-- {
		if terms, met := c.conditionMet(c.policy.Levels[n].Enter, c.entryHeldSince[n]); met {
			return n + 1, terms
		}
	}
	return c.level, ""
}

// isCollapse reports whether a signal is at least collapseFactor times its entry threshold of the next level.
func (c *Controller) isCollapse() bool {
	if c.level == len(c.policy.Levels) {
		return false
	}
	for _, term := range c.policy.Levels[c.level].Enter.Terms {
		if c.smoothed[term.Signal] >= collapseFactor*term.Value && term.Value > 0 {
			return true
		}
	}
	return false
}
