package quota

import (
	"errors"
	"fmt"
)

// Apply applies a command. The result depends on the command and the state alone, so that every replica comes to the same.
func (s *State) Apply(c Command) (r Result) {
	s.Serial++
	r.Serial = s.Serial
	if c.Config != nil {
		s.applyConfig(c.Config, &r)
	}
	for _, e := range c.Expire {
		s.expire(e, &r)
	}
	if c.Rebalance { // after the expiries: what has expired can be granted at once
		s.rebalance(&r)
	}
	if c.Exited != nil {
		s.removeExited(c.Exited, &r)
	}
	if c.Renew != nil {
		s.renew(c.Renew, c.FreezeGrowth, &r)
	}
	if c.Acquire != nil {
		s.acquire(c.Acquire, &r)
	}
	if c.Release != nil {
		s.release(c.Release, &r)
	}
	if c.WriteOff != nil {
		s.writeOff(c.WriteOff, &r)
	}
	if c.ColdStart != nil {
		s.coldStart(c.ColdStart, &r)
	}
	for _, p := range c.ElapsedPauses {
		if start := s.ColdStarts[p.Limit]; start != nil && start.ID == p.ID {
			start.EndPause(p.Number)
		}
	}
	return r
}

// applyConfig takes over a configuration of a higher version.
func (s *State) applyConfig(c *Config, r *Result) {
	switch {
	case c.Version < s.Config.Version:
		r.Rejection = fmt.Sprintf("version: %d is older than %d, which is in force", c.Version, s.Config.Version)
		return
	case c.Version == s.Config.Version && !c.Equal(&s.Config):
		r.Rejection = fmt.Sprintf("version: %d is in force with other content; give the new one a higher number", c.Version)
		return
	case c.Version == s.Config.Version:
		return
	}
	for i := range c.Limits {
		l := &c.Limits[i]
		if err, ok := errors.AsType[*LimitError](l.Validate()); ok {
			r.Rejection = fmt.Sprintf("budget %s: %s: %s", l.Name, err.Field, err.Reason)
			return
		}
	}
	for i := range c.Limits {
		l, previous := &c.Limits[i], s.Config.Lookup(c.Limits[i].Name)
		switch {
		case previous == nil:
			r.Events = append(r.Events, Event{Limit: l.Name, Kind: "budget", Cause: fmt.Sprintf("new, %s of %d", l.Kind, l.Total)})
		case previous.Total != l.Total:
			r.Events = append(r.Events, Event{Limit: l.Name, Kind: "budget", Cause: fmt.Sprintf("whole from %d to %d", previous.Total, l.Total)})
		}
	}
	s.Config = *c
	s.RebuildIndexes()
	s.rebalance(r)
}

// writeOff revokes all that a backend holds, whichever host it is on.
func (s *State) writeOff(c *WriteOffCommand, r *Result) {
	known := false
	keys := append([]ClientKey(nil), s.byName[c.Name]...) // revokeAll changes the index
	for _, key := range keys {
		known = true
		s.revokeAll(key, "written off by "+c.By, r)
	}
	for _, limit := range sortedKeys(s.Permits) {
		permit, has := s.Permits[limit][c.Name]
		if !has {
			continue
		}
		known = true
		if start := s.ColdStarts[limit]; start != nil {
			start.WriteOff(string(c.Name))
		}
		delete(s.Permits[limit], c.Name)
		s.recordReleased(limit, c.Name, permit.AcquireID)
		r.Events = append(r.Events, Event{Limit: limit, Name: string(c.Name), Kind: "unit over", Cause: "written off by " + c.By})
	}
	if !known {
		r.Rejection = fmt.Sprintf("name: %q has nothing", c.Name)
	}
}
