package quota

import (
	"fmt"
	"slices"
)

// acquire grants a name one permit of a concurrency limit.
func (s *State) acquire(c *PermitCommand, r *Result) {
	l := s.Config.Lookup(c.Limit)
	if l == nil || l.Kind != Concurrency {
		r.Rejection = fmt.Sprintf("budget: %q is no count of version %d", c.Limit, s.Config.Version)
		return
	}
	permits := s.Permits[c.Limit]
	if permits == nil {
		permits = map[InstanceName]Permit{}
		s.Permits[c.Limit] = permits
	}
	held, has := permits[c.Name]
	switch {
	case has && held.AcquireID == c.AcquireID && held.Host == c.Host:
	case has:
		r.Rejection = fmt.Sprintf("%s holds one already, for %s at %s", c.Name, held.AcquireID, held.Host)
	case slices.Contains(s.ReleasedIDs[newPermitKey(c.Limit, c.Name)], c.AcquireID):
		r.Rejection = fmt.Sprintf("turn: %q of %s has ended", c.AcquireID, c.Name)
	case int64(len(permits)) >= l.Total-l.Reserved || len(permits) >= maxPermits || len(s.ReleasedIDs) >= maxPermits:
		r.Rejection = fmt.Sprintf("all %d are held", l.Total-l.Reserved)
	case !s.mayStart(c, r):
	default:
		permits[c.Name] = Permit{Limit: c.Limit, Name: c.Name, Host: c.Host, AcquireID: c.AcquireID, Epoch: s.Serial}
	}
}

// release ends a permit. The outcome is reported to a cold start even where the permit is no longer held.
func (s *State) release(c *PermitCommand, r *Result) {
	if held, has := s.Permits[c.Limit][c.Name]; has && held.AcquireID == c.AcquireID && held.Host == c.Host {
		delete(s.Permits[c.Limit], c.Name)
		s.recordReleased(c.Limit, c.Name, c.AcquireID)
	}
	s.reportStart(c, r)
}

// recordReleased remembers that an acquisition has ended, so that a late duplicate of it acquires nothing.
func (s *State) recordReleased(limit LimitName, name InstanceName, acquireID string) {
	key := newPermitKey(limit, name)
	s.ReleasedIDs[key] = append(s.ReleasedIDs[key], acquireID)
	if ids := s.ReleasedIDs[key]; len(ids) > maxReleasedIDs {
		s.ReleasedIDs[key] = ids[1:]
	}
}
