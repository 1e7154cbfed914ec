package quota

import (
	"fmt"
	"slices"
)

// Apply applies a command. The result depends only on the command and the state, so that all replicas agree.
func (s *State) Apply(command Command) Result {
	s.Serial++
	result := Result{Serial: s.Serial}
	if command.Config != nil {
		s.applyConfig(command.Config, &result)
	}
	for _, expiry := range command.Expire {
		s.expire(expiry, &result)
	}
	if command.Rebalance { // after the expiries, so that expired quota is redistributed at once
		s.rebalance(&result)
	}
	if command.Exited != nil {
		s.removeExited(command.Exited, &result)
	}
	if command.Renew != nil {
		s.renew(command.Renew, command.FreezeGrowth, &result)
	}
	if command.Acquire != nil {
		s.acquire(command.Acquire, &result)
	}
	if command.Release != nil {
		s.release(command.Release, &result)
	}
	if command.WriteOff != nil {
		s.writeOff(command.WriteOff, &result)
	}
	if command.ColdStart != nil {
		s.applyColdStart(command.ColdStart, &result)
	}
	for _, pause := range command.ElapsedPauses {
		s.endPause(pause)
	}
	return result
}

// applyConfig replaces the configuration by one of a higher version.
func (s *State) applyConfig(config *Config, result *Result) {
	if config.Version <= s.Config.Version {
		s.rejectOldConfig(config, result)
		return
	}
	for i := range config.Limits {
		limit := &config.Limits[i]
		if err := limit.Validate(); err != nil {
			result.reject("budget %s: %v", limit.Name, err)
			return
		}
	}
	for i := range config.Limits {
		s.reportLimitChange(&config.Limits[i], result)
	}
	s.Config = *config
	s.RebuildIndexes()
	s.rebalance(result)
}

// rejectOldConfig rejects a configuration whose version is not higher, unless it equals the one in force.
func (s *State) rejectOldConfig(config *Config, result *Result) {
	switch {
	case config.Version < s.Config.Version:
		result.reject("version: %d is older than %d, the version in force", config.Version, s.Config.Version)
	case !config.Equal(&s.Config):
		result.reject("version: %d is in force with other content; give the new one a higher number", config.Version)
	}
}

// reportLimitChange adds an event if a limit is new or its total has changed.
func (s *State) reportLimitChange(limit *Limit, result *Result) {
	event := Event{Limit: limit.Name, Kind: eventLimitChanged}
	previous := s.Config.Lookup(limit.Name)
	switch {
	case previous == nil:
		event.Cause = fmt.Sprintf("new, %s of %d", limit.Kind, limit.Total)
	case previous.Total != limit.Total:
		event.Cause = fmt.Sprintf("total from %d to %d", previous.Total, limit.Total)
	default:
		return
	}
	result.addEvent(event)
}

// writeOff revokes all grants and permits of a backend on any host.
func (s *State) writeOff(command *WriteOffCommand, result *Result) {
	cause := "written off by " + command.By
	keys := slices.Clone(s.byName[command.Name]) // revokeAll modifies the index
	for _, key := range keys {
		s.revokeAll(key, cause, result)
	}
	permits := s.revokePermits(command.Name, cause, result)
	if len(keys) == 0 && permits == 0 {
		result.reject("name: %q holds no grant and no permit", command.Name)
	}
}
