package fleet

import (
	"cmp"
	"slices"

	"milletbarrow/monotime"
)

// notInSpec is the cause of a failure for an instance that a command names and the spec no longer does.
const notInSpec = "the fleet's file no longer names it"

// Snapshot is the state that the machine needs back after a restart of the agent.
type Snapshot struct {
	Instances []Instance `json:"instances"`
	Commands  []*Command `json:"commands"`
}

// Restore takes back a snapshot. rebooted reports that the host was started anew since, so that no process of then is
// left. Instances that the spec no longer names are left out; forgotten lists those of them that may still run.
func (m *Machine) Restore(now monotime.Micros, s Snapshot, rebooted bool) (forgotten []Instance) {
	for _, stored := range s.Instances {
		in := m.instances[stored.Name]
		switch {
		case in != nil:
			m.restoreInstance(now, in, stored, rebooted)
		case stored.Incarnation != "" && !rebooted:
			forgotten = append(forgotten, stored)
		}
	}
	slices.SortFunc(s.Commands, func(a, b *Command) int { return cmp.Compare(a.Sequence, b.Sequence) })
	for _, c := range s.Commands {
		m.restoreCommand(now, c.clone(), rebooted)
	}
	m.closeFinishedCommands(now)
	return forgotten
}

// restoreInstance takes back the state of an instance. What its spec says is not taken from the store.
func (m *Machine) restoreInstance(now monotime.Micros, in *Instance, stored Instance, rebooted bool) {
	fromSpec := *in
	*in = stored
	in.Group, in.Spare = fromSpec.Group, fromSpec.Spare
	in.group, in.shutdown, in.fileOrder = fromSpec.group, fromSpec.shutdown, fromSpec.fileOrder
	in.ReadySince, in.Invocations = 0, unknownInvocations
	switch {
	case rebooted:
		in.clearIncarnation()
		in.RestartPending, in.LaunchesExhausted, in.LaunchRequested = false, false, true
		in.NextAttemptAt, in.Attempts, in.LaunchBudget = 0, 0, LaunchBudget{}
		in.setPhase(now, PhaseAbsent, "the machine was started anew")
	case in.Incarnation != "":
		in.Phase, in.PhaseSince, in.Cause = PhaseUnknown, now, "the agent was started"
		in.NextAttemptAt = now // what is pending goes out again at once
		m.renewPendingDeadline(now, in)
	}
}

// renewPendingDeadline counts the deadline of a launch or a notice that may not have arrived from now on.
func (m *Machine) renewPendingDeadline(now monotime.Micros, in *Instance) {
	if in.launchPending() && in.Incarnation == in.ActionID {
		in.PhaseDeadline = now + m.readinessTimeout(in)
		m.markInstanceChanged(in)
	}
	if in.ActionPending && in.LastAction == ActionNotify {
		in.NotifiedAt, in.PhaseDeadline = now, now+in.shutdown.ExitTimeout+m.config.KillDelay
		m.markInstanceChanged(in)
	}
}

// restoreCommand takes back a command and ends it for instances that it can't reach any more.
func (m *Machine) restoreCommand(now monotime.Micros, c *Command, rebooted bool) {
	if c.Results == nil {
		c.Results = map[string]Result{}
	}
	m.commands[c.ID] = c
	m.lastSequence = max(m.lastSequence, c.Sequence)
	if c.State == CommandDone {
		m.finishedCommands = append(m.finishedCommands, c.ID)
		return
	}
	m.openCommands = append(m.openCommands, c)
	for _, n := range c.unresolved() {
		switch {
		case m.instances[n] == nil:
			m.recordResult(now, c, n, OutcomeFailed, notInSpec)
		case rebooted:
			m.recordResult(now, c, n, OutcomeFailed, "the machine was started anew")
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
		if c := m.commands[id]; c != nil {
			r.Commands = append(r.Commands, c.clone())
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
	for _, c := range m.commands {
		r.Commands = append(r.Commands, c.clone())
	}
	return r
}
