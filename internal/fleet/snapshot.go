package fleet

import (
	"cmp"
	"slices"

	"milletbarrow/monotime"
)

// Snapshot is the state of a machine that has to survive a restart of the agent.
type Snapshot struct {
	Instances []Instance `json:"instances"`
	Commands  []*Command `json:"commands"`
}

// Restore sets the state of a new machine from a snapshot. rebooted reports that the host was rebooted since the
// snapshot, which has ended all processes. Instances that the spec no longer names are left out; forgotten lists those
// of them that may still run.
func (m *Machine) Restore(now monotime.Micros, s Snapshot, rebooted bool) (forgotten []Instance) {
	for _, stored := range s.Instances {
		inst := m.instances[stored.Name]
		switch {
		case inst != nil:
			m.restoreInstance(now, inst, stored, rebooted)
		case stored.Incarnation != "" && !rebooted:
			forgotten = append(forgotten, stored)
		}
	}
	slices.SortFunc(s.Commands, func(a, b *Command) int { return cmp.Compare(a.Sequence, b.Sequence) })
	for _, command := range s.Commands {
		m.restoreCommand(now, command.clone(), rebooted)
	}
	m.closeFinishedCommands(now)
	return forgotten
}

// restoreInstance sets the state of an instance from the store, except for the fields that come from the spec.
func (m *Machine) restoreInstance(now monotime.Micros, inst *Instance, stored Instance, rebooted bool) {
	fromSpec := *inst
	*inst = stored
	inst.Group = fromSpec.Group
	inst.Spare = fromSpec.Spare
	inst.group = fromSpec.group
	inst.configWindow = fromSpec.configWindow
	inst.fileOrder = fromSpec.fileOrder
	inst.ReadySince = 0
	inst.Invocations = unknownInvocations
	switch {
	case rebooted:
		inst.resetAfterReboot(now)
	case inst.Incarnation != "":
		inst.awaitObservation(now)
		m.renewPendingDeadline(now, inst)
	}
}

// renewPendingDeadline restarts the deadline of a launch or a notice that may not have arrived, as it is sent again.
func (m *Machine) renewPendingDeadline(now monotime.Micros, inst *Instance) {
	if inst.launchPending() && inst.Incarnation == inst.ActionID {
		inst.PhaseDeadline = now + m.readinessTimeout(inst)
		m.markInstanceChanged(inst)
	}
	if inst.ActionPending && inst.LastAction == ActionNotify {
		inst.NotifiedAt = now
		inst.PhaseDeadline = m.exitDeadline(now, inst)
		m.markInstanceChanged(inst)
	}
}

// restoreCommand adds a command from the store. It ends the command for instances that are no longer in the spec and,
// after a reboot, for all that had no result.
func (m *Machine) restoreCommand(now monotime.Micros, command *Command, rebooted bool) {
	if command.Results == nil {
		command.Results = map[string]Result{}
	}
	m.commands[command.ID] = command
	m.lastSequence = max(m.lastSequence, command.Sequence)
	if command.State == CommandDone {
		m.finishedCommands = append(m.finishedCommands, command.ID)
		return
	}
	m.openCommands = append(m.openCommands, command)
	for _, name := range command.unresolved() {
		switch {
		case m.instances[name] == nil:
			m.recordResult(now, command, name, OutcomeFailed, causeNotInSpec)
		case rebooted:
			m.recordResult(now, command, name, OutcomeFailed, causeRebooted)
		}
	}
}

// Changes returns the instances and commands that have changed since its last call, and the IDs of forgotten commands.
// The agent stores them before it carries out any action.
func (m *Machine) Changes() (changed Snapshot, forgotten []string) {
	for _, name := range sortedKeys(m.changedInstances) {
		changed.Instances = append(changed.Instances, *m.instances[name])
	}
	for _, id := range sortedKeys(m.changedCommands) {
		if command := m.commands[id]; command != nil {
			changed.Commands = append(changed.Commands, command.clone())
		} else {
			forgotten = append(forgotten, id)
		}
	}
	clear(m.changedInstances)
	clear(m.changedCommands)
	return changed, forgotten
}

// RunningUnnamed lists the instances that may run and that another spec does not list for the host, in the order of
// the current spec. An agent with the other spec would not manage them.
func (m *Machine) RunningUnnamed(s *Spec, host string) (names []string) {
	for _, name := range m.instanceNames {
		if named := s.Instance(name); m.instances[name].Incarnation != "" && (named == nil || named.Host != host) {
			names = append(names, name)
		}
	}
	return names
}

// Snapshot returns the complete current state for Restore.
func (m *Machine) Snapshot() (snapshot Snapshot) {
	for _, name := range m.instanceNames {
		snapshot.Instances = append(snapshot.Instances, *m.instances[name])
	}
	for _, command := range m.commands {
		snapshot.Commands = append(snapshot.Commands, command.clone())
	}
	return snapshot
}
