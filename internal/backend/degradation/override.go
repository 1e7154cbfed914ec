package degradation

import "milletbarrow/monotime"

// levelOverride is a level that an operator has set.
type levelOverride struct {
	level      int
	until      monotime.Micros // end; 0: there is no override
	by         string          // the operator
	allowAbove bool            // true if the signals may raise the level above it
}

// active reports whether there is an override.
func (o *levelOverride) active() bool { return o.until != 0 }

// expired reports whether there is an override that ends by now.
func (o *levelOverride) expired(now monotime.Micros) bool { return o.active() && now >= o.until }

// Override puts a level in force until a time, at most MaxOverride from now, on behalf of by. With allowAbove the
// signals may raise the level above it. An override is not stored, and a new one replaces the former. An error is an
// *OverrideError and means that nothing was changed.
func (c *Controller) Override(now monotime.Micros, level int, until monotime.Micros, by string, allowAbove bool) error {
	if level < 0 || level > len(c.policy.Levels) {
		return overrideError("level", "%d is not from 0 to %d", level, len(c.policy.Levels))
	}
	if until <= now || until-now > c.policy.MaxOverride {
		return overrideError("until", "not within the next %d s", c.policy.MaxOverride/monotime.Second)
	}
	c.override = levelOverride{
		level:      level,
		until:      until,
		by:         by,
		allowAbove: allowAbove,
	}
	return nil
}

// ClearOverride ends an override, so that the signals decide again.
func (c *Controller) ClearOverride() { c.override = levelOverride{} }
