package fleet

import (
	"fmt"
	"slices"

	"milletbarrow/monotime"
)

// groupCount counts the instances of a group, for the minimum of a rolling update.
type groupCount struct {
	desiredUp int // spares apart
	available int // spares too
}

// groupCounts counts the instances of each group.
func (m *Machine) groupCounts(now monotime.Micros) map[string]*groupCount {
	all := make(map[string]*groupCount, len(m.groups))
	for name := range m.groups {
		all[name] = &groupCount{}
	}
	for _, name := range m.instanceNames {
		inst := m.instances[name]
		g := all[inst.Group]
		if inst.DesiredUp && !inst.Spare {
			g.desiredUp++
		}
		if inst.available(now) {
			g.available++
		}
	}
	return all
}

// planRollingUpdate prepares a rolling update, or says why none is possible by its configuration.
func (m *Machine) planRollingUpdate(now monotime.Micros, command *Command) error {
	for _, o := range m.openCommands {
		if o.Kind == KindRollingUpdate && o.State != CommandDone {
			return fmt.Errorf("%w: %s", ErrUpdateInProgress, o.ID)
		}
	}
	command.Names = rolloutOrder(command.Rollout.Order, command.Names,
		func(n string) int { return m.instances[n].fileOrder }, func(n string) string { return m.instances[n].Group })
	groups := map[string]bool{}
	for _, n := range command.Names {
		groups[m.instances[n].Group] = true
	}
	tallies := m.groupCounts(now)
	for _, name := range sortedKeys(groups) {
		spares := 0
		for _, n := range m.groups[name].Instances {
			if inst := m.instances[n]; inst != nil && inst.Spare && !inst.DesiredUp && spares < command.Rollout.Surge {
				command.Spares = append(command.Spares, n)
				spares++
			}
		}
		if spares < command.Rollout.Surge {
			return &CommandError{Group: name, Err: fieldErrorf("surge",
				"group %q has %d spares that are down, %d are wanted", name, spares, command.Rollout.Surge)}
		}
		up := tallies[name].desiredUp
		if least := command.Rollout.minReady(up); up > 0 && up+spares-1 < least {
			return &CommandError{Group: name, Err: fieldErrorf("least",
				"with %d of group %q up and %d spares, none can leave while %d must stay ready", up, name, spares, least)}
		}
	}
	command.Stage = StageRolling
	if len(command.Spares) > 0 {
		command.Stage = StageStartSpares
	}
	return nil
}

// advanceRollingUpdate brings an update forward: spares start, instances are released as they may, spares stop.
func (m *Machine) advanceRollingUpdate(now monotime.Micros, command *Command) {
	if command.Stage == StageStartSpares && !m.startSpares(now, command) {
		return
	}
	if command.Stage == StageRolling {
		m.releaseInstances(now, command)
		if len(command.InProgress) > 0 || slices.ContainsFunc(command.Names, func(n string) bool { _, over := command.Results[n]; return !over }) {
			return
		}
		command.Stage = StageStopSpares
		m.markCommandChanged(command)
	}
	if command.Stage == StageStopSpares {
		for _, n := range command.Spares {
			inst := m.instances[n]
			if inst == nil {
				m.recordResult(now, command, n, OutcomeFailed, notInSpec)
				continue
			}
			m.stopSpare(inst)
			m.advance(now, inst)
		}
	}
}

// startSpares starts the spares and reports whether the update may go on: all are settled, or it was cancelled.
func (m *Machine) startSpares(now monotime.Micros, command *Command) bool {
	ready := true
	for _, n := range command.Spares {
		inst := m.instances[n]
		if _, over := command.Results[n]; over || inst == nil {
			continue
		}
		if command.State == CommandCancelled {
			continue
		}
		if !inst.DesiredUp && inst.CommandID != command.ID {
			inst.CommandID = command.ID
			m.restartInstance(now, inst)
			inst.DesiredUp = true
			m.advance(now, inst)
		}
		ready = ready && inst.Settled(now)
	}
	if m.pauseIfNeeded(now, command) || command.State == CommandPaused {
		return false
	}
	if !ready {
		return false
	}
	if command.Stage = StageRolling; command.State == CommandCancelled {
		command.Stage = StageStopSpares
	}
	m.markCommandChanged(command)
	return true
}

// pauseIfNeeded pauses an update that should not go on, and reports whether it did.
func (m *Machine) pauseIfNeeded(now monotime.Micros, command *Command) bool {
	if command.State != CommandOpen {
		return false
	}
	why := ""
	if command.Failures > command.Rollout.MaxFailures {
		why = fmt.Sprintf("%d failed, at most %d may: %s", command.Failures, command.Rollout.MaxFailures, lastFailure(command))
	}
	share, known := m.rejections.share(now)
	switch bad := known && share > command.Rollout.MaxRejectedShare; {
	case !bad:
		command.RejectingSince = 0
	case command.RejectingSince == 0:
		command.RejectingSince = now
	}
	if command.RejectingSince != 0 && now-command.RejectingSince >= command.Rollout.RejectionTolerance && why == "" {
		why = fmt.Sprintf("service falls: %.0f%% are turned away, for %d ms", 100*share, (now-command.RejectingSince)/1000)
	}
	if why == "" && command.BlockedSince != 0 && now-command.BlockedSince >= command.Rollout.StallTimeout {
		why = m.blockedReason(now, command)
	}
	if why == "" {
		return false
	}
	m.pause(now, command, why)
	return true
}

// pause pauses an update and records why.
func (m *Machine) pause(now monotime.Micros, command *Command, why string) {
	command.State, command.Cause = CommandPaused, why
	m.markCommandChanged(command)
	m.history = append(m.history, HistoryEvent{At: now, CommandID: command.ID, Event: "pause", Cause: why})
}

// lastFailure names the instance that failed last, with the cause.
func lastFailure(command *Command) string {
	name, at := "", monotime.Micros(-1)
	for _, n := range command.instanceNames() {
		if r, over := command.Results[n]; over && r.Outcome == OutcomeFailed && r.At > at {
			name, at = n, r.At
		}
	}
	return name + " " + command.Results[name].Cause
}

// releaseInstances restarts as many instances as width, group minimum and quota allow.
func (m *Machine) releaseInstances(now monotime.Micros, command *Command) {
	for _, n := range command.Names {
		if inst := m.instances[n]; command.InProgress[n] && inst != nil {
			m.resolveCommand(now, inst)
		}
	}
	if m.pauseIfNeeded(now, command) || command.State != CommandOpen {
		return
	}
	blocked, requested := false, 0
	var counts map[string]*groupCount // counted once it is needed
	for _, n := range command.Names {
		if len(command.InProgress)+requested >= command.Rollout.MaxInProgress {
			blocked = false
			break
		}
		if _, over := command.Results[n]; over || command.InProgress[n] {
			continue
		}
		inst := m.instances[n]
		if inst == nil || !inst.DesiredUp {
			m.recordResult(now, command, n, OutcomeSkipped, "it is not wanted up")
			continue
		}
		if counts == nil {
			counts = m.groupCounts(now)
		}
		switch m.tryRelease(now, command, inst, counts[inst.Group]) {
		case releaseBlocked:
			blocked = true
		case releaseAwaitsUnit:
			requested++
		}
	}
	command.noteBlocked(now, blocked && len(command.InProgress)+requested == 0)
}

// noteBlocked keeps since when the update is blocked.
func (c *Command) noteBlocked(now monotime.Micros, blocked bool) {
	switch {
	case !blocked:
		c.BlockedSince = 0
	case c.BlockedSince == 0:
		c.BlockedSince = now
	}
}

// releaseDecision is what tryRelease came to.
type releaseDecision int

const (
	released          releaseDecision = iota
	releaseBlocked                    // by the group's minimum, or because the instance can't be observed
	releaseAwaitsUnit                 // a unit of the quota is requested; others of the fleet may hold them all
)

// tryRelease restarts an instance if its group's minimum and the quota allow it. g counts it out already while its
// unit is awaited.
func (m *Machine) tryRelease(now monotime.Micros, command *Command, inst *Instance, g *groupCount) releaseDecision {
	cost := 0
	if inst.available(now) {
		cost = 1
	}
	if g.available-cost < command.Rollout.minReady(g.desiredUp) {
		return releaseBlocked
	}
	if inst.Phase == PhaseUnknown { // it may be ready all the same: its restart would take out one that is not counted
		return releaseBlocked
	}
	g.available -= cost
	if !m.holdsUnit(now, command, inst) {
		return releaseAwaitsUnit
	}
	command.InProgress[inst.Name] = true
	m.restartInstance(now, inst)
	m.markCommandChanged(command)
	m.advance(now, inst)
	return released
}

// blockedReason says which instance or group blocks the update.
func (m *Machine) blockedReason(now monotime.Micros, command *Command) string {
	tallies := m.groupCounts(now)
	for _, n := range command.Names {
		inst := m.instances[n]
		if _, over := command.Results[n]; over || inst == nil {
			continue
		}
		if inst.Phase == PhaseUnknown {
			return fmt.Sprintf("can't go on: %s can't be seen (%s)", n, inst.Cause)
		}
		g := tallies[inst.Group]
		return fmt.Sprintf("can't go on: group %s has %d ready of %d, and %d must stay ready; next would be %s",
			inst.Group, g.available, g.desiredUp, command.Rollout.minReady(g.desiredUp), n)
	}
	return "can't go on"
}
