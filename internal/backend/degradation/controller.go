package degradation

import "milletbarrow/monotime"

// Controller derives from signals which level of a policy is in force. It is not safe for concurrent use.
//
// Invariants:
//   - A level is entered or left at most once per ChangeInterval, except in a collapse
//     (TestLoadAtABoundaryDoesNotOscillate, TestControllerInvariants).
//   - A level stays in force for its MinDuration before a recovery leaves it (TestControllerInvariants,
//     TestLevelIsInForceForMinDuration).
//   - A recovery leaves one level at a time (TestControllerInvariants).
//   - The depth of the level in force is between 0 and 1 (TestControllerInvariants).
//   - An update whose time is not after the last one changes nothing (TestEarlierReadingsAreIgnored).
type Controller struct {
	policy           *Policy
	smoothed         Signals
	lastUpdate       monotime.Micros     // 0: none yet
	level            int                 // in force; 0: full service
	enteredAt        []monotime.Micros   // by level: when it last came into force, alone or below a stronger one
	changedAt        []monotime.Micros   // by level: when it was last entered or left; 0: never
	entryHeldSince   [][]monotime.Micros // by level and entry term: since when it holds; 0: it does not
	exitHeldSince    [][]monotime.Micros // by level and exit term: since when it holds; 0: it does not
	rampStartedAt    monotime.Micros     // start of the recovery ramp; 0: no ramp in progress
	earliestRecovery monotime.Micros     // earliest start of the next recovery ramp
	backoff          monotime.Micros     // delay after the latest aborted recovery or relapse; 0: none
	recoveredAt      monotime.Micros     // when a level was last left; 0: never
	override         levelOverride
}

// NewController returns a controller at full service. That is safe on a host that has just started: its signals are
// missing until they are measured, and admission control protects it in the meantime.
func NewController(policy *Policy) *Controller {
	c := &Controller{
		policy:    policy,
		smoothed:  allMissing(),
		changedAt: make([]monotime.Micros, len(policy.Levels)+1),
		enteredAt: make([]monotime.Micros, len(policy.Levels)+1),
	}
	for _, level := range policy.Levels {
		c.entryHeldSince = append(c.entryHeldSince, make([]monotime.Micros, len(level.Enter.Terms)))
		c.exitHeldSince = append(c.exitHeldSince, make([]monotime.Micros, len(level.Exit.Terms)))
	}
	return c
}

// WithPolicy returns a controller for another policy that keeps the level in force, identified by its name. If the
// other policy has no such level, it continues at the nearest milder one that both policies have. An override is not
// kept.
func (c *Controller) WithPolicy(policy *Policy) *Controller {
	next := NewController(policy)
	next.smoothed = c.smoothed
	next.lastUpdate = c.lastUpdate
	next.earliestRecovery = c.earliestRecovery
	next.backoff = c.backoff
	for number := c.level; number > 0 && next.level == 0; number-- {
		next.level = policy.levelNumber(c.policy.LevelName(number))
	}
	for i, oldLevel := range c.policy.Levels {
		if n := policy.levelNumber(oldLevel.Name); n != 0 {
			next.changedAt[n] = c.changedAt[i+1]
			next.enteredAt[n] = c.enteredAt[i+1]
		}
	}
	return next
}

// Level returns the number of the level in force, 0 for full service.
func (c *Controller) Level() int { return c.level }

// Smoothed returns the smoothed signals, which the conditions are evaluated on.
func (c *Controller) Smoothed() Signals { return c.smoothed }

// Depth returns the fraction, 0 to 1, at which the rules of the level in force apply. It falls below 1 during the
// recovery ramp. The rules of milder levels always apply in full.
func (c *Controller) Depth(now monotime.Micros) float64 {
	if c.rampStartedAt == 0 || c.policy.RecoveryRamp == 0 {
		return 1
	}
	return min(1, max(0, 1-float64(now-c.rampStartedAt)/float64(c.policy.RecoveryRamp)))
}

// Update evaluates the signals measured at now and returns the change of level, if any. After a backward clock step,
// updates are ignored until the clock has passed the time of the last one.
func (c *Controller) Update(now monotime.Micros, signals Signals) (change Change, changed bool) {
	if c.lastUpdate != 0 && now <= c.lastUpdate {
		return change, false
	}
	c.smooth(now, signals)
	c.updateTermTimes(now)
	if c.override.expired(now) {
		c.ClearOverride()
	}
	if c.override.active() {
		to := c.override.level
		if to != c.level && (!c.override.allowAbove || c.level < to) {
			return c.changeLevel(now, to, "held by "+c.override.operator, false), true
		}
		if !c.override.allowAbove {
			return change, false
		}
	}
	if to, cause := c.strongestEntered(); to > c.level {
		if c.changeAllowed(now, to) {
			return c.changeLevel(now, to, cause, false), true
		}
		if to > c.level+1 || c.isCollapse() {
			return c.changeLevel(now, to, cause, true), true
		}
	}
	return c.updateRecovery(now)
}
