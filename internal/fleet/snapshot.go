package fleet

import (
	"cmp"
	"slices"

	"milletbarrow/monotime"
)

// Snapshot is the state that the machine needs back after a restart of the agent.
type Snapshot struct {
	Instances []Instance `json:"instances"`
	Commands  []*Command `json:"commands"`
}

// Restore takes back a snapshot. rebooted reports that the host was started anew since, so that no process of then is
// left. Instances that the spec no longer names are left out; forgotten lists those of them that may still run.
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

// restoreInstance takes back the state of an instance. What the spec says about it is not taken from the store.
func (m *Machine) restoreInstance(now monotime.Micros, inst *Instance, stored Instance, rebooted bool) {
	fromSpec := *inst
	*inst = stored
	inst.Group = fromSpec.Group
	inst.Spare = fromSpec.Spare
	inst.group = fromSpec.group
	inst.shutdown = fromSpec.shutdown
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

// renewPendingDeadline has the deadline of a launch or a notice that may not have arrived run from now on.
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

// restoreCommand takes back a command and ends it for instances that it can't reach any more.
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

// Changes are the instances and commands to be stored before the actions are carried out, as they are now, and the IDs of
// commands to be forgotten. The next call gives what changed since.
func (m *Machine) Changes() (r Snapshot, dropped []string) {
	for _, name := range sortedKeys(m.changedInstances) {
		r.Instances = append(r.Instances, *m.instances[name])
	}
	for _, id := range sortedKeys(m.changedCommands) {
		if command := m.commands[id]; command != nil {
			r.Commands = append(r.Commands, command.clone())
		} else {
			dropped = append(dropped, id)
		}
	}
	clear(m.changedInstances)
	clear(m.changedCommands)
	return r, dropped
}

// RunningUnnamed lists the instances that may run and that another fleet file does not name for the host, in this file's
// order: an agent that used that file would not manage them.
func (m *Machine) RunningUnnamed(s *Spec, host string) (names []string) {
	for _, name := range m.instanceNames {
		if named := s.Instance(name); m.instances[name].Incarnation != "" && (named == nil || named.Host != host) {
			names = append(names, name)
		}
	}
	return names
}

// Snapshot is all that Restore takes, as it is now.
func (m *Machine) Snapshot() (r Snapshot) {
	for _, name := range m.instanceNames {
		r.Instances = append(r.Instances, *m.instances[name])
	}
	for _, command := range m.commands {
		r.Commands = append(r.Commands, command.clone())
	}
	return r
}
