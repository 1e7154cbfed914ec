package fleet

import (
	"cmp"
	"slices"
)

// Record is what the machine must be told again after a restart.
type Snapshot struct {
	Instances []Instance `json:"instances"`
	Commands  []*Command `json:"commands"`
}

// Restore takes back what was written down. fresh: the machine was started anew since, so that no process of
// then is left. Instances that the file no longer names are kept out of it: forgotten lists those that may still
// run.
func (m *Machine) Restore(now Micros, r Snapshot, fresh bool) (forgotten []Instance) {
	for _, was := range r.Instances {
		in := m.instances[was.Name]
		if in == nil {
			if was.Incarnation != "" && !fresh {
				forgotten = append(forgotten, was)
			}
			continue
		}
		keep := *in
		*in = was
		in.Group, in.Spare, in.group, in.shutdown, in.fileOrder = keep.Group, keep.Spare, keep.group, keep.shutdown, keep.fileOrder
		in.ReadySince, in.Detail, in.Invocations = 0, nil, unknownInvocations
		switch {
		case fresh:
			in.clearIncarnation()
			in.RestartPending, in.LaunchesExhausted, in.LaunchRequested, in.NextAttemptAt, in.Attempts, in.LaunchBudget = false, false, true, 0, 0, LaunchBudget{}
			in.setPhase(now, PhaseAbsent, "the machine was started anew")
		case in.Incarnation != "":
			in.Phase, in.PhaseSince, in.Cause = PhaseUnknown, now, "the agent was started"
			in.NextAttemptAt = now                                                                  // what is pending goes out again at once
			if in.ActionPending && in.LastAction == ActionLaunch && in.Incarnation == in.ActionID { // it may not have begun
				in.PhaseDeadline = now + m.readinessTimeout(in)
				m.markInstanceChanged(in)
			}
			if in.ActionPending && in.LastAction == ActionNotify { // its window runs from when it hears
				in.NotifiedAt, in.PhaseDeadline = now, now+in.shutdown.ExitTimeout+m.config.KillDelay
				m.markInstanceChanged(in)
			}
		}
	}
	slices.SortFunc(r.Commands, func(a, b *Command) int { return cmp.Compare(a.Sequence, b.Sequence) })
	for _, c := range r.Commands {
		if c = c.clone(); c.Results == nil {
			c.Results = map[string]Result{}
		}
		m.commands[c.ID] = c
		m.lastSequence = max(m.lastSequence, c.Sequence)
		if c.State == CommandDone {
			m.finishedCommands = append(m.finishedCommands, c.ID)
			continue
		}
		m.openCommands = append(m.openCommands, c)
		for _, n := range c.unresolved() {
			switch {
			case m.instances[n] == nil:
				m.recordResult(now, c, n, OutcomeFailed, "the fleet's file no longer names it")
			case fresh:
				m.recordResult(now, c, n, OutcomeFailed, "the machine was started anew")
			}
		}
	}
	m.closeFinishedCommands(now)
	return forgotten
}

// Changes are the instances and commands to be written down before the steps are taken, as they are now. Asking
// again gives what changed since.
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

// All is everything that Restore takes, as it is now.
func (m *Machine) Snapshot() (r Snapshot) {
	for _, name := range m.instanceNames {
		r.Instances = append(r.Instances, *m.instances[name])
	}
	for _, c := range m.commands {
		r.Commands = append(r.Commands, c.clone())
	}
	return r
}
