package degradation

import "milletbarrow/monotime"

// Controller decides from signals which level of a policy is in force. It is not safe for concurrent use.
//
// Invariants:
//   - A level changes at most once in ChangeInterval, except in a collapse (TestLoadAtABoundaryDoesNotOscillate,
//     TestControllerInvariants).
//   - A level is in force for its MinDuration before a recovery leaves it (TestControllerInvariants,
//     TestLevelIsInForceForMinDuration).
//   - A recovery leaves one level at a time (TestControllerInvariants).
//   - The depth of the level in force lies between 0 and 1 (TestControllerInvariants).
//   - An update whose time is not after the last one changes nothing (TestEarlierReadingsAreIgnored).
type Controller struct {
	policy       *Policy
	smoothed     Signals
	lastUpdate   monotime.Micros     // 0: none yet
	level        int                 // in force; 0 is full service
	enteredAt    []monotime.Micros   // by level: start of its present time in force, also below a stronger level
	changedAt    []monotime.Micros   // by level: when it was last entered or left; 0: never
	entrySince   [][]monotime.Micros // by level and term of its entry: since when the term holds; 0: it does not
	exitSince    [][]monotime.Micros // by level and term of its exit: since when the term holds; 0: it does not
	leavingSince monotime.Micros     // start of the recovery ramp; 0: none is in progress
	noExitBefore monotime.Micros     // earliest start of the next recovery ramp
	backoff      monotime.Micros     // latest delay after an aborted recovery or a relapse; 0: none
	recoveredAt  monotime.Micros     // when a level was last left; 0: never
	override     levelOverride
}

// NewController returns a controller at full service. A host that has just started begins there too: its signals are
// missing until they are measured, and the admission control protects it meanwhile.
func NewController(policy *Policy) *Controller {
	c := &Controller{
		policy:    policy,
		smoothed:  allMissing(),
		changedAt: make([]monotime.Micros, len(policy.Levels)+1),
		enteredAt: make([]monotime.Micros, len(policy.Levels)+1),
	}
	for _, level := range policy.Levels {
		c.entrySince = append(c.entrySince, make([]monotime.Micros, len(level.Enter.Terms)))
		c.exitSince = append(c.exitSince, make([]monotime.Micros, len(level.Exit.Terms)))
	}
	return c
}

// WithPolicy returns a controller for another policy that continues from the level in force: the level of the same
// name, or if there is none the nearest milder one that both policies have.
func (c *Controller) WithPolicy(policy *Policy) *Controller {
	next := NewController(policy)
	next.smoothed = c.smoothed
	next.lastUpdate = c.lastUpdate
	next.noExitBefore = c.noExitBefore
	next.backoff = c.backoff
	for former := c.level; former > 0 && next.level == 0; former-- {
		next.level = policy.levelNumber(c.policy.LevelName(former))
	}
	for i, formerLevel := range c.policy.Levels {
		if n := policy.levelNumber(formerLevel.Name); n != 0 {
			next.changedAt[n] = c.changedAt[i+1]
			next.enteredAt[n] = c.enteredAt[i+1]
		}
	}
	return next
}

// Level returns the number of the level in force, 0 for full service.
func (c *Controller) Level() int { return c.level }

// Smoothed returns the signals that conditions are judged by.
func (c *Controller) Smoothed() Signals { return c.smoothed }

// Depth returns the fraction of the level's own rules that is in force, 0 to 1. It is below 1 during the recovery ramp.
// The rules of milder levels are completely in force.
func (c *Controller) Depth(now monotime.Micros) float64 {
	if c.leavingSince == 0 || c.policy.RecoveryRamp == 0 {
		return 1
	}
	return min(1, max(0, 1-float64(now-c.leavingSince)/float64(c.policy.RecoveryRamp)))
}

// Update takes the signals of now and returns the change of the level, if there is one. If the clock went back, updates
// are ignored until it is past the last one.
func (c *Controller) Update(now monotime.Micros, signals Signals) (change Change, changed bool) {
	if c.lastUpdate != 0 && now <= c.lastUpdate {
		return change, false
	}
	c.smooth(now, signals)
	c.trackTerms(now)
	if c.override.expired(now) {
		c.ClearOverride()
	}
	if c.override.active() {
		to := c.override.level
		if to != c.level && (!c.override.allowAbove || c.level < to) {
			return c.changeLevel(now, to, "held by "+c.override.by, false), true
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
