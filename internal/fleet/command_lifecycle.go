package fleet

import (
	"fmt"
	"slices"

	"milletbarrow/monotime"
)

// acceptCommand takes a new command in; one that is known with the same content changes nothing.
func (m *Machine) acceptCommand(now monotime.Micros, command *Command) error {
	if err := command.validate(); err != nil {
		return err
	}
	if was := m.commands[command.ID]; was != nil {
		if !was.equivalent(command) {
			return ErrIDConflict
		}
		return nil
	}
	seen := map[string]bool{}
	for _, name := range command.Names {
		switch inst := m.instances[name]; {
		case inst == nil:
			return &CommandError{Instance: name, Err: fieldErrorf("names", "%q is no instance of this agent", name)}
		case seen[name]:
			return &CommandError{Instance: name, Err: fieldErrorf("names", "%q stands twice", name)}
		case command.Kind == KindRollingUpdate && inst.Spare:
			return &CommandError{Instance: name, Err: fieldErrorf("names", "%q is a spare; a wave takes those by surge", name)}
		}
		seen[name] = true
	}
	if command.Deadline <= now {
		return fieldErrorf("due", "it has passed")
	}
	if len(m.openCommands) >= m.config.MaxOpenCommands {
		return ErrTooManyCommands
	}
	command = command.clone()
	command.State, command.Cause, command.StartedAt, command.FinishedAt = CommandOpen, "", now, 0
	command.Results, command.InProgress, command.Failures, command.BlockedSince, command.RejectingSince, command.Spares, command.Stage = map[string]Result{}, map[string]bool{}, 0, 0, 0, nil, ""
	if command.Kind == KindRollingUpdate {
		if err := m.planRollingUpdate(now, command); err != nil {
			return err
		}
	}
	m.lastSequence++
	command.Sequence = m.lastSequence
	m.commands[command.ID] = command
	m.openCommands = append(m.openCommands, command)
	m.markCommandChanged(command)
	m.history = append(m.history, HistoryEvent{At: now, CommandID: command.ID, Event: "taken", Cause: fmt.Sprintf("%s of %d, asked by %s", command.Kind, len(command.Names), command.RequestedBy)})
	for _, name := range command.Names {
		m.assignInstance(now, command, m.instances[name])
	}
	return nil
}

// assignInstance makes a command the one that waits for the instance. Of two commands for the same instance the later
// holds, and the earlier one ends there as superseded. An instance that was notified exits all the same; if it is
// desired up it is launched again afterwards.
func (m *Machine) assignInstance(now monotime.Micros, command *Command, inst *Instance) {
	if command.Kind == KindRollingUpdate && !inst.DesiredUp {
		m.recordResult(now, command, inst.Name, OutcomeSkipped, "it is not wanted up")
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
		if inst.DesiredUp && inst.runsUndisturbed() {
			m.recordResult(now, command, inst.Name, OutcomeUnchanged, "")
			return
		}
		inst.DesiredUp, inst.LaunchesExhausted, inst.LaunchRequested, inst.Attempts, inst.LaunchBudget = true, false, true, 0, LaunchBudget{}
		if inst.Phase.Down() {
			inst.NextAttemptAt = now
		}
	case KindDrain, KindStop:
		if inst.Phase.Down() {
			inst.DesiredUp, inst.RestartPending = false, false
			m.recordResult(now, command, inst.Name, OutcomeUnchanged, inst.Cause)
			return
		}
		inst.DesiredUp, inst.RestartPending = false, false
		if command.Immediate && inst.KillAttempts == 0 {
			m.issueAction(now, inst, ActionKill, "asked for")
			if inst.NoticeID == "" {
				inst.NoticeID, inst.NotifiedAt = inst.ActionID, now
			}
		}
	case KindRestart:
		m.restartInstance(now, inst)
	case KindColdStart:
		if inst.DesiredUp && inst.runsUndisturbed() {
			m.recordResult(now, command, inst.Name, OutcomeUnchanged, "")
			inst.reportAlreadyRunning(command)
		}
	}
}

// restartInstance has an instance exit and launched again.
func (m *Machine) restartInstance(now monotime.Micros, inst *Instance) {
	inst.DesiredUp, inst.LaunchesExhausted, inst.LaunchRequested, inst.Attempts, inst.LaunchBudget = true, false, true, 0, LaunchBudget{}
	if inst.Phase.Down() {
		inst.NextAttemptAt = now
	} else {
		inst.RestartPending = true
	}
	inst.LastExit = Exit{}
	m.markInstanceChanged(inst)
}

// resolveCommand gives the command that waits for an instance its result, once there is one.
func (m *Machine) resolveCommand(now monotime.Micros, inst *Instance) {
	command := m.commands[inst.CommandID]
	if command == nil {
		return
	}
	if _, over := command.Results[inst.Name]; over {
		inst.CommandID = ""
		m.markInstanceChanged(inst)
		return
	}
	switch command.Kind {
	case KindStart, KindColdStart:
		m.resolveStart(now, command, inst)
	case KindDrain, KindStop:
		m.resolveStop(now, command, inst)
	case KindRestart, KindRollingUpdate:
		m.resolveRestart(now, command, inst)
	}
}

// failedForGood reports whether the instance is down and is not launched again by itself.
func (inst *Instance) failedForGood() bool {
	return inst.Phase == PhaseFailed && inst.LaunchesExhausted
}

// resolveStart ends a start or a cold start for an instance that is ready, or that failed for good.
func (m *Machine) resolveStart(now monotime.Micros, command *Command, inst *Instance) {
	switch {
	case command.Kind == KindColdStart && !inst.DesiredUp: // it has not been its turn
	case inst.runsUndisturbed() && (command.Kind == KindStart || inst.Settled(now)):
		m.recordResult(now, command, inst.Name, OutcomeSucceeded, "")
		inst.reportAlreadyRunning(command)
	case inst.failedForGood():
		m.recordResult(now, command, inst.Name, OutcomeFailed, inst.Cause)
	}
}

// resolveStop ends a drain or a stop for an instance that is down.
func (m *Machine) resolveStop(now monotime.Micros, command *Command, inst *Instance) {
	switch exit := inst.LastExit; {
	case !inst.Phase.Down():
	case exit.KillReason != "":
		m.recordResult(now, command, inst.Name, OutcomeKilled, exit.String())
	case inst.Phase == PhaseExited && exit.Signal == "" && exit.Code == 0:
		m.recordResult(now, command, inst.Name, OutcomeSucceeded, "")
	default:
		m.recordResult(now, command, inst.Name, OutcomeFailed, "it is down: "+inst.Cause)
	}
}

// resolveRestart ends a restart or a rolling update for an instance that is up again, or that failed for good.
func (m *Machine) resolveRestart(now monotime.Micros, command *Command, inst *Instance) {
	if command.Kind == KindRollingUpdate && !command.InProgress[inst.Name] && !inst.Spare {
		return // it has not been its turn
	}
	if inst.Spare && command.Stage == StageStopSpares {
		if inst.Phase.Down() {
			m.recordResult(now, command, inst.Name, OutcomeSucceeded, "")
		}
		return
	}
	switch {
	case inst.failedForGood():
		m.recordResult(now, command, inst.Name, OutcomeFailed, inst.Cause)
	case !inst.runsUndisturbed() || inst.Spare:
	case command.Kind == KindRollingUpdate && !inst.Settled(now):
	case inst.LastExit.KillReason != "":
		m.recordResult(now, command, inst.Name, OutcomeKilled, "up again; before, "+inst.LastExit.String())
	case inst.LastExit.Code != 0:
		m.recordResult(now, command, inst.Name, OutcomeSucceeded, "up again; before, "+inst.LastExit.String())
	default:
		m.recordResult(now, command, inst.Name, OutcomeSucceeded, "")
	}
}

// runsUndisturbed reports whether the instance is ready and is not about to leave.
func (inst *Instance) runsUndisturbed() bool {
	return inst.Phase == PhaseReady && !inst.RestartPending && inst.NoticeID == ""
}

// recordResult gives a command its result for one instance, once; what comes after it changes nothing.
func (m *Machine) recordResult(now monotime.Micros, command *Command, name string, o Outcome, cause string) {
	if _, over := command.Results[name]; over {
		return
	}
	command.Results[name] = Result{Outcome: o, Cause: cause, At: now}
	if o == OutcomeFailed {
		command.Failures++
	}
	delete(command.InProgress, name)
	if inst := m.instances[name]; inst != nil && inst.CommandID == command.ID {
		inst.CommandID = ""
		m.markInstanceChanged(inst)
	}
	m.markCommandChanged(command)
	m.history = append(m.history, HistoryEvent{At: now, Name: name, CommandID: command.ID, Event: "result " + string(o), Cause: cause})
}

// expireCommand ends a command whose time is over. What it began goes on.
func (m *Machine) expireCommand(now monotime.Micros, command *Command) {
	for _, name := range command.unresolved() {
		m.recordResult(now, command, name, OutcomeTimedOut, "the command's time is over")
	}
	for _, name := range command.Spares {
		m.stopSpare(m.instances[name])
	}
}

// stopSpare has a spare shut down, if it is one.
func (m *Machine) stopSpare(inst *Instance) {
	if inst != nil && inst.Spare && inst.DesiredUp {
		inst.DesiredUp = false
		m.markInstanceChanged(inst)
	}
}

// controlCommand pauses, resumes or cancels a command.
func (m *Machine) controlCommand(now monotime.Micros, e CommandControl) error {
	command := m.commands[e.CommandID]
	if command == nil {
		return ErrUnknownCommand
	}
	switch {
	case command.State == CommandDone:
		return fmt.Errorf("%s: %w", e.Verb, ErrCommandEnded)
	case e.Verb == VerbCancel:
		if command.State == CommandCancelled {
			return nil
		}
		command.State, command.Cause = CommandCancelled, "by "+e.RequestedBy
		for _, name := range command.unresolved() {
			if inst := m.instances[name]; command.Kind == KindRollingUpdate && (command.InProgress[name] || inst != nil && inst.Spare) {
				continue // it comes back
			}
			m.recordResult(now, command, name, OutcomeCancelled, "by "+e.RequestedBy)
		}
	case command.Kind != KindRollingUpdate:
		return fmt.Errorf("%s: %w", e.Verb, ErrNotPausable)
	case e.Verb == VerbPause && command.State == CommandOpen:
		command.State, command.Cause = CommandPaused, "by "+e.RequestedBy
	case e.Verb == VerbResume && command.State == CommandPaused:
		command.State, command.Cause, command.Failures, command.BlockedSince, command.RejectingSince = CommandOpen, "", 0, 0, 0
	case e.Verb == VerbPause, e.Verb == VerbResume:
		return nil // as it is
	default:
		return &VerbError{e.Verb}
	}
	m.markCommandChanged(command)
	m.history = append(m.history, HistoryEvent{At: now, CommandID: command.ID, Event: string(e.Verb), Cause: "by " + e.RequestedBy})
	return nil
}

// closeFinishedCommands ends the commands that have all their results, and forgets the oldest beyond the bound.
func (m *Machine) closeFinishedCommands(now monotime.Micros) {
	m.openCommands = slices.DeleteFunc(m.openCommands, func(command *Command) bool {
		if len(command.Results) < len(command.Names)+len(command.Spares) {
			return false
		}
		if command.State != CommandCancelled {
			command.Cause = ""
		}
		command.State, command.FinishedAt = CommandDone, now
		m.finishedCommands = append(m.finishedCommands, command.ID)
		m.markCommandChanged(command)
		m.history = append(m.history, HistoryEvent{At: now, CommandID: command.ID, Event: "ended"})
		return true
	})
	for len(m.finishedCommands) > m.config.MaxFinishedCommands {
		delete(m.commands, m.finishedCommands[0])
		m.changedCommands[m.finishedCommands[0]] = true
		m.finishedCommands = m.finishedCommands[1:]
	}
}
