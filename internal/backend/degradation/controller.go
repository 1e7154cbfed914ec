package degradation

import (
	"fmt"
	"math"
	"strings"

	"milletbarrow/monotime"
)

// Change is one change of the level, as it is logged and recorded.
type Change struct {
	At       monotime.Micros
	From, To int     // numbers of levels; 0 is full service, 1 the mildest level
	Cause    string  // the terms that were met, or who overrides the level
	Collapse bool    // made sooner than ChangeInterval allows
	Signals  Signals // smoothed
}

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

type levelOverride struct {
	level      int
	until      monotime.Micros
	by         string
	allowAbove bool // the signals may raise the level above it
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

// LevelName returns the name of a level by its number.
func (policy *Policy) LevelName(n int) string {
	if n == 0 {
		return "full"
	}
	return policy.Levels[n-1].Name
}

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

// maxGap is the longest time between updates; after a longer one nothing is known of the time between. A clock that jumps
// ahead looks the same, and one that goes back stops everything until it is where it was.
const maxGap monotime.Micros = 2_000_000

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

// changeAllowed reports whether the level may change to another: none of the levels entered or left has changed within
// ChangeInterval, and the present one has been in force for its MinDuration. Time under a stronger level counts: after a
// recovery the next ones follow as fast as their exits and ramps allow.
func (c *Controller) changeAllowed(now monotime.Micros, to int) bool {
	for n := min(c.level, to) + 1; n <= max(c.level, to); n++ {
		if at := c.changedAt[n]; at != 0 && now-at < c.policy.ChangeInterval {
			return false
		}
	}
	return to > c.level || now-c.enteredAt[c.level] >= c.policy.Levels[c.level-1].MinDuration
}

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

// change puts another level in force.
func (c *Controller) change(now monotime.Micros, to int, cause string, collapse bool) Change {
	change := Change{At: now, From: c.level, To: to, Cause: cause, Collapse: collapse, Signals: c.smoothed}
	for n := min(c.level, to) + 1; n <= max(c.level, to); n++ {
		c.changedAt[n] = now
	}
	for n := c.level + 1; n <= to; n++ {
		c.enteredAt[n] = now
	}
	relapse := to > c.level && c.recoveredAt != 0 && now-c.recoveredAt < 2*c.policy.ChangeInterval
	if to < c.level {
		c.recoveredAt = now
	} else if !relapse {
		c.backoff = 0
	}
	c.level, c.leavingSince, c.noExitBefore = to, 0, now
	if relapse { // a collapse may enter it again at once, but it is not left again so soon
		c.extendBackoff(now)
	}
	return change
}

// Override holds a level until then, at most MaxOverride from now, on behalf of by. With allowAbove the signals may raise
// the level above it. An override is not stored, and a new one replaces the old. An error is an *OverrideError and
// means that nothing was changed.
func (c *Controller) Override(now monotime.Micros, level int, until monotime.Micros, by string, allowAbove bool) error {
	switch {
	case level < 0 || level > len(c.policy.Levels):
		return overrideError("level", "%d is not from 0 to %d", level, len(c.policy.Levels))
	case until <= now || until-now > c.policy.MaxOverride:
		return overrideError("until", "not within the next %d s", c.policy.MaxOverride/1_000_000)
	}
	c.override = levelOverride{level: level, until: until, by: by, allowAbove: allowAbove}
	return nil
}

// ClearOverride ends an override: the signals decide again.
func (c *Controller) ClearOverride() { c.override = levelOverride{} }

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
