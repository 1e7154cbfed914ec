package degradation

import (
	"milletbarrow/monotime"
)

// Controller decides from signals which level of a policy is in force. Not safe for concurrent use.
type Controller struct {
	policy       *Policy
	smoothed     Signals
	lastUpdate   monotime.Micros // 0: none yet
	level        int
	enteredAt    []monotime.Micros   // by level: since when it has been in force, on its own or under a stronger one
	changedAt    []monotime.Micros   // by level: when it was last entered or left; 0: never
	entrySince   [][]monotime.Micros // by level and term of its entry: since when it holds; 0: it does not
	exitSince    [][]monotime.Micros // likewise for the exits
	leavingSince monotime.Micros     // since when the recovery ramp runs; 0: it does not
	noExitBefore monotime.Micros     // no recovery ramp begins before
	backoff      monotime.Micros     // the latest pause after a recovery that was aborted, or after a relapse
	recoveredAt  monotime.Micros     // when a level was last left; 0: never
	override     levelOverride
}

// NewController returns a controller at full service. A host that has just started begins there too: its signals are
// missing until they are measured, and the admission control protects it meanwhile.
func NewController(policy *Policy) *Controller {
	c := &Controller{policy: policy, changedAt: make([]monotime.Micros, len(policy.Levels)+1), enteredAt: make([]monotime.Micros, len(policy.Levels)+1)}
	for s := range c.smoothed {
		c.smoothed[s] = Missing
	}
	for _, level := range policy.Levels {
		c.entrySince = append(c.entrySince, make([]monotime.Micros, len(level.Enter.Terms)))
		c.exitSince = append(c.exitSince, make([]monotime.Micros, len(level.Exit.Terms)))
	}
	return c
}

// Level returns the number of the level in force, 0 for full service.
func (c *Controller) Level() int { return c.level }

// Smoothed returns the signals that conditions are judged by.
func (c *Controller) Smoothed() Signals { return c.smoothed }

// Depth is how much of the level's own rules is in force, 0 to 1: less than 1 while it is being left. The rules of milder
// levels are in force completely.
func (c *Controller) Depth(now monotime.Micros) float64 {
	if c.leavingSince == 0 || c.policy.RecoveryRamp == 0 {
		return 1
	}
	return min(1, max(0, 1-float64(now-c.leavingSince)/float64(c.policy.RecoveryRamp)))
}

// Update takes in the signals of now and returns the change of the level, if there is one.
func (c *Controller) Update(now monotime.Micros, s Signals) (change Change, changes bool) {
	if c.lastUpdate != 0 && now <= c.lastUpdate {
		return change, false
	}
	c.smooth(now, s)
	c.trackTerms(now)
	if c.override.until != 0 && now >= c.override.until {
		c.override = levelOverride{}
	}
	if c.override.until != 0 {
		if to := c.override.level; to != c.level && (!c.override.allowAbove || c.level < to) {
			return c.change(now, to, "held by "+c.override.by, false), true
		}
		if !c.override.allowAbove {
			return change, false
		}
	}
	if to, cause := c.worstEntered(); to > c.level {
		if c.changeAllowed(now, to) {
			return c.change(now, to, cause, false), true
		}
		if to > c.level+1 || c.isCollapse() {
			return c.change(now, to, cause, true), true
		}
	}
	return c.recover(now)
}

// WithPolicy returns a controller for another policy that goes on from the level in force: the one of the same name, or
// if there is none the nearest below it.
func (c *Controller) WithPolicy(policy *Policy) *Controller {
	n := NewController(policy)
	n.smoothed, n.lastUpdate, n.noExitBefore, n.backoff = c.smoothed, c.lastUpdate, c.noExitBefore, c.backoff
	for old := c.level; old > 0 && n.level == 0; old-- {
		for i, level := range policy.Levels {
			if level.Name == c.policy.LevelName(old) {
				n.level = i + 1
			}
		}
	}
	for i, level := range policy.Levels {
		for old, was := range c.policy.Levels {
			if was.Name == level.Name {
				n.changedAt[i+1], n.enteredAt[i+1] = c.changedAt[old+1], c.enteredAt[old+1]
			}
		}
	}
	return n
}
