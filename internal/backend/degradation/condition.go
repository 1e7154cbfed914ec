package degradation

import (
	"fmt"
	"strings"

	"milletbarrow/monotime"
)

// collapseFactor is the ratio of a signal to the next level's entry from which the change does not wait for
// ChangeInterval.
const collapseFactor = 1.5

// trackTerms records since when each term holds. A term of a missing signal does not hold.
func (c *Controller) trackTerms(now monotime.Micros) {
	for n, level := range c.policy.Levels {
		for i, term := range level.Enter.Terms {
			trackSince(&c.entrySince[n][i], now, c.smoothed[term.Signal] >= term.Value)
		}
		for i, term := range level.Exit.Terms {
			trackSince(&c.exitSince[n][i], now, c.smoothed[term.Signal] < term.Value)
		}
	}
}

// trackSince updates the time since when a term holds; 0 means that it does not.
func trackSince(since *monotime.Micros, now monotime.Micros, holds bool) {
	if !holds {
		*since = 0
	} else if *since == 0 {
		*since = now
	}
}

// clearTerms discards the times since when terms hold.
func (c *Controller) clearTerms() {
	for n := range c.entrySince {
		clear(c.entrySince[n])
		clear(c.exitSince[n])
	}
}

// conditionMet reports whether a condition is met, and returns its terms that are. since has the time since when each
// term holds.
func (c *Controller) conditionMet(condition Condition, since []monotime.Micros) (terms string, met bool) {
	var metTerms []string
	for i, term := range condition.Terms {
		if since[i] != 0 && c.lastUpdate-since[i] >= term.For {
			metTerms = append(metTerms, fmt.Sprintf("%s %.3g", term.Signal, c.smoothed[term.Signal]))
		}
	}
	if condition.Any && len(metTerms) > 0 || len(metTerms) == len(condition.Terms) {
		return strings.Join(metTerms, ", "), true
	}
	return "", false
}

// strongestEntered returns the strongest level whose entry is met and the terms that are, or the present level if no
// stronger one is entered.
func (c *Controller) strongestEntered() (level int, terms string) {
	for n := len(c.policy.Levels) - 1; n >= c.level; n-- {
		if terms, met := c.conditionMet(c.policy.Levels[n].Enter, c.entrySince[n]); met {
			return n + 1, terms
		}
	}
	return c.level, ""
}

// isCollapse reports whether a signal is at least collapseFactor times the next level's entry.
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
