package quota

import (
	"slices"

	"milletbarrow/internal/cluster/coldstart"
)

// Permit is one unit of a concurrency limit, held by an instance.
type Permit struct {
	Limit     LimitName    `json:"budget"`
	Name      InstanceName `json:"name"`
	Host      string       `json:"host"`
	AcquireID string       `json:"turn"`  // idempotency key of the acquisition
	Epoch     uint64       `json:"epoch"` // serial of the command that acquired it
}

// acquire grants an instance one permit of a concurrency limit, or rejects the command.
func (s *State) acquire(command *PermitCommand, result *Result) {
	limit := s.Config.Lookup(command.Limit)
	if limit == nil || limit.Kind != Concurrency {
		result.reject("budget: %q is not a count in version %d", command.Limit, s.Config.Version)
		return
	}
	permits := s.Permits[command.Limit]
	if permits == nil {
		permits = map[InstanceName]Permit{}
		s.Permits[command.Limit] = permits
	}
	releasedIDs := s.ReleasedIDs[newPermitKey(command.Limit, command.Name)]
	held, has := permits[command.Name]
	switch {
	case has && command.matches(held):
	case has:
		result.reject("name: %q already holds a permit, as %q on host %q", command.Name, held.AcquireID, held.Host)
	case slices.Contains(releasedIDs, command.AcquireID):
		result.reject("turn: %q of %q has already ended", command.AcquireID, command.Name)
	case int64(len(permits)) >= limit.grantable() || len(permits) >= maxPermits || len(s.ReleasedIDs) >= maxPermits:
		result.reject("all %d are held", limit.grantable())
	case !s.requestStart(command, result):
	default:
		permits[command.Name] = Permit{
			Limit:     command.Limit,
			Name:      command.Name,
			Host:      command.Host,
			AcquireID: command.AcquireID,
			Epoch:     s.Serial,
		}
	}
}

// matches reports whether a permit was acquired with this command's AcquireID from its host.
func (c *PermitCommand) matches(permit Permit) bool {
	return permit.AcquireID == c.AcquireID && permit.Host == c.Host
}

// release releases a permit. The outcome is reported to the cold start even if the permit is no longer held.
func (s *State) release(command *PermitCommand, result *Result) {
	if held, has := s.Permits[command.Limit][command.Name]; has && command.matches(held) {
		s.removePermit(command.Limit, command.Name, held.AcquireID)
	}
	s.reportStart(command, result)
}

// revokePermits revokes all permits of an instance and returns their number.
func (s *State) revokePermits(name InstanceName, cause string, result *Result) int {
	revoked := 0
	for _, limit := range sortedKeys(s.Permits) {
		permit, has := s.Permits[limit][name]
		if !has {
			continue
		}
		revoked++
		if coldStart := s.ColdStarts[limit]; coldStart != nil {
			coldStart.WriteOff(coldstart.MemberName(name))
		}
		s.removePermit(limit, name, permit.AcquireID)
		result.addEvent(Event{Limit: limit, Name: string(name), Kind: eventPermitEnded, Cause: cause})
	}
	return revoked
}

// removePermit deletes a permit and records its AcquireID, so that a late duplicate of the acquisition is rejected.
func (s *State) removePermit(limit LimitName, name InstanceName, acquireID string) {
	delete(s.Permits[limit], name)
	key := newPermitKey(limit, name)
	s.ReleasedIDs[key] = append(s.ReleasedIDs[key], acquireID)
	if ids := s.ReleasedIDs[key]; len(ids) > maxReleasedIDs {
		s.ReleasedIDs[key] = ids[1:]
	}
}
