package fleet

import (
	"fmt"

	"milletbarrow/monotime"
)

// groupCount counts the instances of a group, to enforce the minimum of a rolling update.
type groupCount struct {
	desiredUp int // excluding spares
	available int // including spares
}

// groupCounts counts the instances of each group, by its name.
func (m *Machine) groupCounts(now monotime.Micros) map[string]*groupCount {
	counts := make(map[string]*groupCount, len(m.groups))
	for group := range m.groups {
		counts[group] = &groupCount{}
	}
	for _, name := range m.instanceNames {
		inst := m.instances[name]
		count := counts[inst.Group]
		if inst.DesiredUp && !inst.Spare {
			count.desiredUp++
		}
		if inst.available(now) {
			count.available++
		}
	}
	return counts
}

// planRollingUpdate sets the order, the spares and the first stage of a rolling update. It returns an error if another
// one is open, or if the update could not be carried out with its configuration.
func (m *Machine) planRollingUpdate(now monotime.Micros, command *Command) error {
	for _, other := range m.openCommands {
		if other.Kind == KindRollingUpdate && other.State != CommandDone {
			return fmt.Errorf("%w: %s", ErrUpdateInProgress, other.ID)
		}
	}
	command.Names = rolloutOrder(command.Rollout.Order, command.Names,
		func(name string) int { return m.instances[name].fileOrder },
		func(name string) string { return m.instances[name].Group })
	groups := map[string]bool{}
	for _, name := range command.Names {
		groups[m.instances[name].Group] = true
	}
	counts := m.groupCounts(now)
	for _, group := range sortedKeys(groups) {
		spares, err := m.planSpares(command.Rollout, group)
		if err != nil {
			return err
		}
		if err := checkMinReady(command.Rollout, group, counts[group].desiredUp, len(spares)); err != nil {
			return err
		}
		command.Spares = append(command.Spares, spares...)
	}
	command.Stage = StageRolling
	if len(command.Spares) > 0 {
		command.Stage = StageStartSpares
	}
	return nil
}

// planSpares lists the spares of a group that the update starts before it restarts instances. Its error is a
// *CommandError.
func (m *Machine) planSpares(config *RollingUpdateConfig, group string) ([]string, error) {
	var spares []string
	for _, name := range m.groups[group].Instances {
		inst := m.instances[name]
		if inst != nil && inst.Spare && !inst.DesiredUp && len(spares) < config.Surge {
			spares = append(spares, name)
		}
	}
	if len(spares) < config.Surge {
		return nil, &CommandError{Group: group, Err: fieldErrorf("surge",
			"group %q has %d spares that are down, wanted %d", group, len(spares), config.Surge)}
	}
	return spares, nil
}

// checkMinReady returns a *CommandError if the minimum would never let an instance of the group restart.
func checkMinReady(config *RollingUpdateConfig, group string, desiredUp, spares int) error {
	minReady := config.minReady(desiredUp)
	if desiredUp == 0 || desiredUp+spares-1 >= minReady {
		return nil
	}
	return &CommandError{Group: group, Err: fieldErrorf("least",
		"group %q has %d instances up and %d spares: none can restart while %d must stay ready",
		group, desiredUp, spares, minReady)}
}

// advanceRollingUpdate takes the next steps of an update: it starts the spares, restarts instances as its bounds allow,
// and stops the spares.
func (m *Machine) advanceRollingUpdate(now monotime.Micros, command *Command) {
	if command.Stage == StageStartSpares && !m.startSpares(now, command) {
		return
	}
	if command.Stage == StageRolling {
		m.restartNextInstances(now, command)
		if len(command.InProgress) > 0 || !command.allResolved() {
			return
		}
		command.Stage = StageStopSpares
		m.markCommandChanged(command)
	}
	if command.Stage == StageStopSpares {
		m.stopSpares(now, command)
	}
}

// startSpares starts the spares and reports whether the update may continue: all are settled, or it was cancelled.
func (m *Machine) startSpares(now monotime.Micros, command *Command) bool {
	settled := true
	for _, name := range command.Spares {
		inst := m.instances[name]
		if command.hasResult(name) || inst == nil || command.State == CommandCancelled {
			continue
		}
		if !inst.DesiredUp && inst.CommandID != command.ID {
			inst.CommandID = command.ID
			m.restartInstance(now, inst)
			m.advance(now, inst)
		}
		settled = settled && inst.Settled(now)
	}
	if m.pauseIfNeeded(now, command) || command.State == CommandPaused || !settled {
		return false
	}
	command.Stage = StageRolling
	if command.State == CommandCancelled {
		command.Stage = StageStopSpares
	}
	m.markCommandChanged(command)
	return true
}

// stopSpares shuts the spares down.
func (m *Machine) stopSpares(now monotime.Micros, command *Command) {
	for _, name := range command.Spares {
		inst := m.instances[name]
		if inst == nil {
			m.recordResult(now, command, name, OutcomeFailed, causeNotInSpec)
			continue
		}
		m.stopSpare(inst)
		m.advance(now, inst)
	}
}

// stopSpare shuts a spare down. It ignores nil, and an instance that the spec no longer lists as a spare.
func (m *Machine) stopSpare(inst *Instance) {
	if inst != nil && inst.Spare && inst.DesiredUp {
		inst.DesiredUp = false
		m.markInstanceChanged(inst)
	}
}

// restartNextInstances restarts as many instances as MaxInProgress, the groups' minimums and the quota allow.
func (m *Machine) restartNextInstances(now monotime.Micros, command *Command) {
	for _, name := range command.Names {
		if inst := m.instances[name]; command.InProgress[name] && inst != nil {
			m.resolveCommand(now, inst)
		}
	}
	if m.pauseIfNeeded(now, command) || command.State != CommandOpen {
		return
	}
	blocked := false
	requested := 0
	var counts map[string]*groupCount // by group; counted when first needed
	for _, name := range command.Names {
		if len(command.InProgress)+requested >= command.Rollout.MaxInProgress {
			blocked = false
			break
		}
		if command.hasResult(name) || command.InProgress[name] {
			continue
		}
		inst := m.instances[name]
		if inst == nil || !inst.DesiredUp {
			m.recordResult(now, command, name, OutcomeSkipped, causeNotDesiredUp)
			continue
		}
		if counts == nil {
			counts = m.groupCounts(now)
		}
		switch m.tryRestart(now, command, inst, counts[inst.Group]) {
		case restartBegun:
		case restartBlocked:
			blocked = true
		case restartAwaitsUnit:
			requested++
		}
	}
	command.updateBlockedSince(now, blocked && len(command.InProgress)+requested == 0)
}

// updateBlockedSince records when the update became blocked, and clears the time once it is not blocked.
func (c *Command) updateBlockedSince(now monotime.Micros, blocked bool) {
	switch {
	case !blocked:
		c.BlockedSince = 0
	case c.BlockedSince == 0:
		c.BlockedSince = now
	}
}

// restartDecision is the result of tryRestart.
type restartDecision int

const (
	restartBegun      restartDecision = iota
	restartBlocked                    // by the group's minimum, or because the instance can't be observed
	restartAwaitsUnit                 // it waits for a unit of the quota, which other hosts share
)

// tryRestart restarts an instance if its group's minimum and the quota allow it. An instance that waits for a unit is
// no longer counted as available in count.
func (m *Machine) tryRestart(now monotime.Micros, command *Command, inst *Instance, count *groupCount) restartDecision {
	cost := 0
	if inst.available(now) {
		cost = 1
	}
	if count.available-cost < command.Rollout.minReady(count.desiredUp) {
		return restartBlocked
	}
	if inst.Phase == PhaseUnknown { // it may be ready although it does not count as available
		return restartBlocked
	}
	count.available -= cost
	if !m.ensureUnit(now, command, inst) {
		return restartAwaitsUnit
	}
	command.InProgress[inst.Name] = true
	m.restartInstance(now, inst)
	m.markCommandChanged(command)
	m.advance(now, inst)
	return restartBegun
}
