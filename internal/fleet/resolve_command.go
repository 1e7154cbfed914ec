package fleet

import "milletbarrow/monotime"

// resolveCommand records the result of an instance for the command that it is assigned to, once there is one.
func (m *Machine) resolveCommand(now monotime.Micros, inst *Instance) {
	command := m.commands[inst.CommandID]
	if command == nil {
		return
	}
	if command.hasResult(inst.Name) {
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

// resolveStart ends a start or a cold start for an instance that is ready, or that failed for good.
func (m *Machine) resolveStart(now monotime.Micros, command *Command, inst *Instance) {
	switch {
	case command.Kind == KindColdStart && !inst.DesiredUp: // its start has not begun
	case inst.servesNormally() && (command.Kind == KindStart || inst.Settled(now)):
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

// resolveRestart ends a restart or a rolling update for an instance that serves again, or that failed for good.
func (m *Machine) resolveRestart(now monotime.Micros, command *Command, inst *Instance) {
	if command.Kind == KindRollingUpdate && !command.InProgress[inst.Name] && !inst.Spare {
		return // its restart has not begun
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
	case !inst.servesNormally() || inst.Spare:
	case command.Kind == KindRollingUpdate && !inst.Settled(now):
	case inst.LastExit.KillReason != "":
		m.recordResult(now, command, inst.Name, OutcomeKilled, "up again; before, "+inst.LastExit.String())
	case inst.LastExit.Code != 0:
		m.recordResult(now, command, inst.Name, OutcomeSucceeded, "up again; before, "+inst.LastExit.String())
	default:
		m.recordResult(now, command, inst.Name, OutcomeSucceeded, "")
	}
}

// recordResult records the result of a command for one instance. A recorded result is never replaced.
func (m *Machine) recordResult(now monotime.Micros, command *Command, name string, outcome Outcome, cause string) {
	if command.hasResult(name) {
		return
	}
	command.Results[name] = Result{Outcome: outcome, Cause: cause, At: now}
	if outcome == OutcomeFailed {
		command.Failures++
	}
	delete(command.InProgress, name)
	if inst := m.instances[name]; inst != nil && inst.CommandID == command.ID {
		inst.CommandID = ""
		m.markInstanceChanged(inst)
	}
	m.markCommandChanged(command)
	m.history = append(m.history, HistoryEvent{
		At:        now,
		Name:      name,
		CommandID: command.ID,
		Event:     eventResultPrefix + string(outcome),
		Cause:     cause,
	})
}

// expireCommand ends a command whose deadline has passed. Launches and shutdowns that it began continue.
func (m *Machine) expireCommand(now monotime.Micros, command *Command) {
	for _, name := range command.unresolved() {
		m.recordResult(now, command, name, OutcomeTimedOut, causeDeadlinePassed)
	}
	for _, name := range command.Spares {
		m.stopSpare(m.instances[name])
	}
}

// closeFinishedCommands closes the commands that have all their results.
func (m *Machine) closeFinishedCommands(now monotime.Micros) {
	open := m.openCommands[:0]
	for _, command := range m.openCommands {
		if len(command.Results) < len(command.Names)+len(command.Spares) {
			open = append(open, command)
			continue
		}
		command.finish(now)
		m.finishedCommands = append(m.finishedCommands, command.ID)
		m.markCommandChanged(command)
		m.recordCommandEvent(now, command, eventEnded, "")
	}
	clear(m.openCommands[len(open):])
	m.openCommands = open
	m.forgetOldCommands()
}

// finish marks a command as done. A cancelled command keeps the cause of its cancellation.
func (c *Command) finish(now monotime.Micros) {
	if c.State != CommandCancelled {
		c.Cause = ""
	}
	c.State = CommandDone
	c.FinishedAt = now
}

// forgetOldCommands forgets the oldest finished commands beyond Config.MaxFinishedCommands.
func (m *Machine) forgetOldCommands() {
	for len(m.finishedCommands) > m.config.MaxFinishedCommands {
		oldest := m.finishedCommands[0]
		delete(m.commands, oldest)
		m.changedCommands[oldest] = true
		m.finishedCommands = m.finishedCommands[1:]
	}
}
