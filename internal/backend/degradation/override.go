package degradation

import (
	"milletbarrow/monotime"
)

type levelOverride struct {
	level      int
	until      monotime.Micros
	by         string
	allowAbove bool // the signals may raise the level above it
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
