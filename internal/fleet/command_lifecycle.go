package fleet

import (
	"fmt"
	"slices"

	"milletbarrow/monotime"
)

// acceptCommand takes a new command in; one that is known with the same content changes nothing.
func (m *Machine) acceptCommand(now monotime.Micros, c *Command) error {
	if err := c.validate(); err != nil {
		return err
	}
	if was := m.commands[c.ID]; was != nil {
		if !was.equivalent(c) {
			return ErrIDConflict
		}
		return nil
	}
	seen := map[string]bool{}
	for _, n := range c.Names {
		switch in := m.instances[n]; {
		case in == nil:
			return &CommandError{Instance: n, Err: fieldErrorf("names", "%q is no instance of this agent", n)}
		case seen[n]:
			return &CommandError{Instance: n, Err: fieldErrorf("names", "%q stands twice", n)}
		case c.Kind == KindRollingUpdate && in.Spare:
			return &CommandError{Instance: n, Err: fieldErrorf("names", "%q is a spare; a wave takes those by surge", n)}
		}
		seen[n] = true
	}
	if c.Deadline <= now {
		return fieldErrorf("due", "it has passed")
	}
	if len(m.openCommands) >= m.config.MaxOpenCommands {
		return ErrTooManyCommands
	}
	c = c.clone()
	c.State, c.Cause, c.StartedAt, c.FinishedAt = CommandOpen, "", now, 0
	c.Results, c.InProgress, c.Failures, c.BlockedSince, c.RejectingSince, c.Spares, c.Stage = map[string]Result{}, map[string]bool{}, 0, 0, 0, nil, ""
	if c.Kind == KindRollingUpdate {
		if err := m.planRollingUpdate(now, c); err != nil {
			return err
		}
	}
	m.lastSequence++
	c.Sequence = m.lastSequence
	m.commands[c.ID] = c
	m.openCommands = append(m.openCommands, c)
	m.markCommandChanged(c)
	m.history = append(m.history, HistoryEvent{At: now, CommandID: c.ID, Event: "taken", Cause: fmt.Sprintf("%s of %d, asked by %s", c.Kind, len(c.Names), c.RequestedBy)})
	for _, n := range c.Names {
		m.assignInstance(now, c, m.instances[n])
	}
	return nil
}

// assignInstance makes a command the one that waits for the instance. Of two commands for the same instance the later
// holds, and the earlier one ends there as superseded. An instance that was notified exits all the same; if it is
// desired up it is launched again afterwards.
func (m *Machine) assignInstance(now monotime.Micros, c *Command, in *Instance) {
	if c.Kind == KindRollingUpdate && !in.DesiredUp {
		m.recordResult(now, c, in.Name, OutcomeSkipped, "it is not wanted up")
		return
	}
	if old := m.commands[in.CommandID]; old != nil && old != c {
		delete(old.InProgress, in.Name)
		m.recordResult(now, old, in.Name, OutcomeSuperseded, "by "+c.ID)
	}
	in.CommandID = c.ID
	m.markInstanceChanged(in)
	switch c.Kind {
	case KindStart:
		if in.DesiredUp && in.runsUndisturbed() {
			m.recordResult(now, c, in.Name, OutcomeUnchanged, "")
			return
		}
		in.DesiredUp, in.LaunchesExhausted, in.LaunchRequested, in.Attempts, in.LaunchBudget = true, false, true, 0, LaunchBudget{}
		if in.Phase.Down() {
			in.NextAttemptAt = now
		}
	case KindDrain, KindStop:
		if in.Phase.Down() {
			in.DesiredUp, in.RestartPending = false, false
			m.recordResult(now, c, in.Name, OutcomeUnchanged, in.Cause)
			return
		}
		in.DesiredUp, in.RestartPending = false, false
		if c.Immediate && in.KillAttempts == 0 {
			m.issueAction(now, in, ActionKill, "asked for")
			if in.NoticeID == "" {
				in.NoticeID, in.NotifiedAt = in.ActionID, now
			}
		}
	case KindRestart:
		m.restartInstance(now, in)
	case KindColdStart:
		if in.DesiredUp && in.runsUndisturbed() {
			m.recordResult(now, c, in.Name, OutcomeUnchanged, "")
			in.reportAlreadyRunning(c)
		}
	}
}

// restartInstance has an instance exit and launched again.
func (m *Machine) restartInstance(now monotime.Micros, in *Instance) {
	in.DesiredUp, in.LaunchesExhausted, in.LaunchRequested, in.Attempts, in.LaunchBudget = true, false, true, 0, LaunchBudget{}
	if in.Phase.Down() {
		in.NextAttemptAt = now
	} else {
		in.RestartPending = true
	}
	in.LastExit = Exit{}
	m.markInstanceChanged(in)
}

// resolveCommand gives the command that waits for an instance its result, once there is one.
func (m *Machine) resolveCommand(now monotime.Micros, in *Instance) {
	c := m.commands[in.CommandID]
	if c == nil {
		return
	}
	if _, over := c.Results[in.Name]; over {
		in.CommandID = ""
		m.markInstanceChanged(in)
		return
	}
	switch c.Kind {
	case KindStart, KindColdStart:
		m.resolveStart(now, c, in)
	case KindDrain, KindStop:
		m.resolveStop(now, c, in)
	case KindRestart, KindRollingUpdate:
		m.resolveRestart(now, c, in)
	}
}

// failedForGood reports whether the instance is down and is not launched again by itself.
func (in *Instance) failedForGood() bool { return in.Phase == PhaseFailed && in.LaunchesExhausted }

// resolveStart ends a start or a cold start for an instance that is ready, or that failed for good.
func (m *Machine) resolveStart(now monotime.Micros, c *Command, in *Instance) {
	switch {
	case c.Kind == KindColdStart && !in.DesiredUp: // it has not been its turn
	case in.runsUndisturbed() && (c.Kind == KindStart || in.Settled(now)):
		m.recordResult(now, c, in.Name, OutcomeSucceeded, "")
		in.reportAlreadyRunning(c)
	case in.failedForGood():
		m.recordResult(now, c, in.Name, OutcomeFailed, in.Cause)
	}
}

// resolveStop ends a drain or a stop for an instance that is down.
func (m *Machine) resolveStop(now monotime.Micros, c *Command, in *Instance) {
	switch exit := in.LastExit; {
	case !in.Phase.Down():
	case exit.KillReason != "":
		m.recordResult(now, c, in.Name, OutcomeKilled, exit.String())
	case in.Phase == PhaseExited && exit.Signal == "" && exit.Code == 0:
		m.recordResult(now, c, in.Name, OutcomeSucceeded, "")
	default:
		m.recordResult(now, c, in.Name, OutcomeFailed, "it is down: "+in.Cause)
	}
}

// resolveRestart ends a restart or a rolling update for an instance that is up again, or that failed for good.
func (m *Machine) resolveRestart(now monotime.Micros, c *Command, in *Instance) {
	if c.Kind == KindRollingUpdate && !c.InProgress[in.Name] && !in.Spare {
		return // it has not been its turn
	}
	if in.Spare && c.Stage == StageStopSpares {
		if in.Phase.Down() {
			m.recordResult(now, c, in.Name, OutcomeSucceeded, "")
		}
		return
	}
	switch {
	case in.failedForGood():
		m.recordResult(now, c, in.Name, OutcomeFailed, in.Cause)
	case !in.runsUndisturbed() || in.Spare:
	case c.Kind == KindRollingUpdate && !in.Settled(now):
	case in.LastExit.KillReason != "":
		m.recordResult(now, c, in.Name, OutcomeKilled, "up again; before, "+in.LastExit.String())
	case in.LastExit.Code != 0:
		m.recordResult(now, c, in.Name, OutcomeSucceeded, "up again; before, "+in.LastExit.String())
	default:
		m.recordResult(now, c, in.Name, OutcomeSucceeded, "")
	}
}

// runsUndisturbed reports whether the instance is ready and is not about to leave.
func (in *Instance) runsUndisturbed() bool {
	return in.Phase == PhaseReady && !in.RestartPending && in.NoticeID == ""
}

// recordResult gives a command its result for one instance, once; what comes after it changes nothing.
func (m *Machine) recordResult(now monotime.Micros, c *Command, name string, o Outcome, cause string) {
	if _, over := c.Results[name]; over {
		return
	}
	c.Results[name] = Result{Outcome: o, Cause: cause, At: now}
	if o == OutcomeFailed {
		c.Failures++
	}
	delete(c.InProgress, name)
	if in := m.instances[name]; in != nil && in.CommandID == c.ID {
		in.CommandID = ""
		m.markInstanceChanged(in)
	}
	m.markCommandChanged(c)
	m.history = append(m.history, HistoryEvent{At: now, Name: name, CommandID: c.ID, Event: "result " + string(o), Cause: cause})
}

// expireCommand ends a command whose time is over. What it began goes on.
func (m *Machine) expireCommand(now monotime.Micros, c *Command) {
	for _, n := range c.unresolved() {
		m.recordResult(now, c, n, OutcomeTimedOut, "the command's time is over")
	}
	for _, n := range c.Spares {
		m.stopSpare(m.instances[n])
	}
}

// stopSpare has a spare shut down, if it is one.
func (m *Machine) stopSpare(in *Instance) {
	if in != nil && in.Spare && in.DesiredUp {
		in.DesiredUp = false
		m.markInstanceChanged(in)
	}
}

// controlCommand pauses, resumes or cancels a command.
func (m *Machine) controlCommand(now monotime.Micros, e CommandControl) error {
	c := m.commands[e.CommandID]
	if c == nil {
		return ErrUnknownCommand
	}
	switch {
	case c.State == CommandDone:
		return fmt.Errorf("%s: %w", e.Verb, ErrCommandEnded)
	case e.Verb == VerbCancel:
		if c.State == CommandCancelled {
			return nil
		}
		c.State, c.Cause = CommandCancelled, "by "+e.RequestedBy
		for _, n := range c.unresolved() {
			if in := m.instances[n]; c.Kind == KindRollingUpdate && (c.InProgress[n] || in != nil && in.Spare) {
				continue // it comes back
			}
			m.recordResult(now, c, n, OutcomeCancelled, "by "+e.RequestedBy)
		}
	case c.Kind != KindRollingUpdate:
		return fmt.Errorf("%s: %w", e.Verb, ErrNotPausable)
	case e.Verb == VerbPause && c.State == CommandOpen:
		c.State, c.Cause = CommandPaused, "by "+e.RequestedBy
	case e.Verb == VerbResume && c.State == CommandPaused:
		c.State, c.Cause, c.Failures, c.BlockedSince, c.RejectingSince = CommandOpen, "", 0, 0, 0
	case e.Verb == VerbPause, e.Verb == VerbResume:
		return nil // as it is
	default:
		return &VerbError{e.Verb}
	}
	m.markCommandChanged(c)
	m.history = append(m.history, HistoryEvent{At: now, CommandID: c.ID, Event: string(e.Verb), Cause: "by " + e.RequestedBy})
	return nil
}

// closeFinishedCommands ends the commands that have all their results, and forgets the oldest beyond the bound.
func (m *Machine) closeFinishedCommands(now monotime.Micros) {
	m.openCommands = slices.DeleteFunc(m.openCommands, func(c *Command) bool {
		if len(c.Results) < len(c.Names)+len(c.Spares) {
			return false
		}
		if c.State != CommandCancelled {
			c.Cause = ""
		}
		c.State, c.FinishedAt = CommandDone, now
		m.finishedCommands = append(m.finishedCommands, c.ID)
		m.markCommandChanged(c)
		m.history = append(m.history, HistoryEvent{At: now, CommandID: c.ID, Event: "ended"})
		return true
	})
	for len(m.finishedCommands) > m.config.MaxFinishedCommands {
		delete(m.commands, m.finishedCommands[0])
		m.changedCommands[m.finishedCommands[0]] = true
		m.finishedCommands = m.finishedCommands[1:]
	}
}
