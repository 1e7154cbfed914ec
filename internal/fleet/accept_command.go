package fleet

import (
	"fmt"

	"milletbarrow/monotime"
)

// acceptCommand adds a new command. A repeated command with the same ID and content changes nothing.
func (m *Machine) acceptCommand(now monotime.Micros, received *Command) error {
	if err := received.validate(); err != nil {
		return err
	}
	if known := m.commands[received.ID]; known != nil {
		if !known.equivalent(received) {
			return ErrIDConflict
		}
		return nil
	}
	if err := m.checkInstances(received); err != nil {
		return err
	}
	if received.Deadline <= now {
		return fieldErrorf("due", "deadline is in the past")
	}
	if len(m.openCommands) >= m.config.MaxOpenCommands {
		return ErrTooManyCommands
	}
	command := received.begin(now)
	if command.Kind == KindRollingUpdate {
		if err := m.planRollingUpdate(now, command); err != nil {
			return err
		}
	}
	m.addCommand(now, command)
	for _, name := range command.Names {
		m.assignInstance(now, command, m.instances[name])
	}
	return nil
}

// checkInstances returns a *CommandError unless the command names instances of this host, each once, and a rolling
// update names no spare.
func (m *Machine) checkInstances(command *Command) error {
	seen := map[string]bool{}
	for _, name := range command.Names {
		switch inst := m.instances[name]; {
		case inst == nil:
			return &CommandError{Instance: name, Err: fieldErrorf("names", "unknown instance %q", name)}
		case seen[name]:
			return &CommandError{Instance: name, Err: fieldErrorf("names", "duplicate instance %q", name)}
		case command.Kind == KindRollingUpdate && inst.Spare:
			return &CommandError{Instance: name,
				Err: fieldErrorf("names", "%q is a spare: a rolling update uses spares by its surge only", name)}
		}
		seen[name] = true
	}
	return nil
}

// begin returns a copy of a received command in its initial state: open, without results.
func (c *Command) begin(now monotime.Micros) *Command {
	return &Command{
		ID:          c.ID,
		Kind:        c.Kind,
		Names:       c.Names,
		RequestedBy: c.RequestedBy,
		RequestedAt: c.RequestedAt,
		Deadline:    c.Deadline,
		Immediate:   c.Immediate,
		Rollout:     c.Rollout,
		Quota:       c.Quota,
		State:       CommandOpen,
		StartedAt:   now,
		Results:     map[string]Result{},
		InProgress:  map[string]bool{},
	}
}

// addCommand assigns an accepted command its sequence number and adds it to the open commands.
func (m *Machine) addCommand(now monotime.Micros, command *Command) {
	m.lastSequence++
	command.Sequence = m.lastSequence
	m.commands[command.ID] = command
	m.openCommands = append(m.openCommands, command)
	m.markCommandChanged(command)
	m.recordCommandEvent(now, command, eventAccepted,
		fmt.Sprintf("%s of %d, asked by %s", command.Kind, len(command.Names), command.RequestedBy))
}

// assignInstance assigns an instance to a command. A later command for the same instance supersedes the earlier one
// there. A shutdown notice can't be withdrawn: a notified instance exits even if the later command wants it up, and is
// launched again afterwards.
func (m *Machine) assignInstance(now monotime.Micros, command *Command, inst *Instance) {
	if command.Kind == KindRollingUpdate && !inst.DesiredUp {
		m.recordResult(now, command, inst.Name, OutcomeSkipped, causeNotDesiredUp)
		return
	}
	if old := m.commands[inst.CommandID]; old != nil && old != command {
		delete(old.InProgress, inst.Name)
		m.recordResult(now, old, inst.Name, OutcomeSuperseded, "by "+command.ID)
	}
	inst.CommandID = command.ID
	m.markInstanceChanged(inst)
	switch command.Kind {
	case KindStart:
		m.assignStart(now, command, inst)
	case KindDrain, KindStop:
		m.assignStop(now, command, inst)
	case KindRestart:
		m.restartInstance(now, inst)
	case KindColdStart: // advanceColdStart starts the instance once it holds a unit
		if inst.DesiredUp && inst.servesNormally() {
			m.recordResult(now, command, inst.Name, OutcomeUnchanged, "")
			inst.reportAlreadyRunning(command)
		}
	case KindRollingUpdate: // restartNextInstances restarts the instance in its turn
	}
}

// assignStart has an instance launched unless it already serves.
func (m *Machine) assignStart(now monotime.Micros, command *Command, inst *Instance) {
	if inst.DesiredUp && inst.servesNormally() {
		m.recordResult(now, command, inst.Name, OutcomeUnchanged, "")
		return
	}
	inst.requestLaunch(now)
}

// assignStop shuts an instance down unless it is down already; with Immediate it is killed at once.
func (m *Machine) assignStop(now monotime.Micros, command *Command, inst *Instance) {
	inst.DesiredUp = false
	inst.RestartPending = false
	if inst.Phase.Down() {
		m.recordResult(now, command, inst.Name, OutcomeUnchanged, inst.Cause)
		return
	}
	if command.Immediate && inst.KillAttempts == 0 {
		m.issueAction(now, inst, ActionKill, causeRequested)
		if inst.NoticeID == "" {
			inst.NoticeID = inst.ActionID
			inst.NotifiedAt = now
		}
	}
}

// restartInstance shuts an instance down, if it runs, and has it launched again.
func (m *Machine) restartInstance(now monotime.Micros, inst *Instance) {
	inst.requestLaunch(now)
	if !inst.Phase.Down() {
		inst.RestartPending = true
	}
	inst.LastExit = Exit{}
	m.markInstanceChanged(inst)
}
