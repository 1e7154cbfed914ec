package degradation

import "milletbarrow/monotime"

// levelOverride is a level set by an operator in place of the one that the signals call for.
type levelOverride struct {
	level      int
	until      monotime.Micros // end of the override; 0: there is none
	operator   string          // who set it
	allowAbove bool            // the signals may raise the level above it
}

// active reports whether an override is set.
func (o *levelOverride) active() bool { return o.until != 0 }

// expired reports whether an override is set that has ended by now.
func (o *levelOverride) expired(now monotime.Micros) bool { return o.active() && now >= o.until }

// Override puts a level in force until a time, at most MaxOverride from now, on behalf of an operator. If allowAbove is
// set, the signals may raise the level above it. An override replaces the previous one and does not survive a restart.
// An error is an *OverrideError and means that nothing was changed.
func (c *Controller) Override(now monotime.Micros, level int, until monotime.Micros, operator string, allowAbove bool,
) error {
	if level < 0 || level > len(c.policy.Levels) {
		return overrideError("level", "%d is not from 0 to %d", level, len(c.policy.Levels))
	}
	if until <= now || until-now > c.policy.MaxOverride {
		return overrideError("until", "not within the next %d s", c.policy.MaxOverride/monotime.Second)
	}
	c.override = levelOverride{
		level:      level,
		until:      until,
		operator:   operator,
		allowAbove: allowAbove,
	}
	return nil
}

// ClearOverride ends the override; the signals determine the level again.
func (c *Controller) ClearOverride() { c.override = levelOverride{} }
