package fleet

import (
	"fmt"

	"milletbarrow/monotime"
)

// controlCommand pauses, resumes or cancels a command.
func (m *Machine) controlCommand(now monotime.Micros, control CommandControl) error {
	command := m.commands[control.CommandID]
	if command == nil {
		return ErrUnknownCommand
	}
	requestedBy := "by " + control.RequestedBy
	switch {
	case command.State == CommandDone:
		return fmt.Errorf("%s: %w", control.Verb, ErrCommandEnded)
	case control.Verb == VerbCancel && command.State == CommandCancelled:
		return nil
	case control.Verb == VerbCancel:
		m.cancel(now, command, requestedBy)
	case command.Kind != KindRollingUpdate:
		return fmt.Errorf("%s: %w", control.Verb, ErrNotPausable)
	case control.Verb == VerbPause && command.State == CommandOpen:
		command.setState(CommandPaused, requestedBy)
	case control.Verb == VerbResume && command.State == CommandPaused:
		command.resume()
	case control.Verb == VerbPause, control.Verb == VerbResume:
		return nil // the command already is in the requested state, or it is cancelled
	default:
		return &VerbError{control.Verb}
	}
	m.markCommandChanged(command)
	m.recordCommandEvent(now, command, string(control.Verb), requestedBy)
	return nil
}

// cancel ends a command for the instances that it has not begun with. A rolling update first completes the restarts in
// progress and stops its spares.
func (m *Machine) cancel(now monotime.Micros, command *Command, cause string) {
	command.setState(CommandCancelled, cause)
	for _, name := range command.unresolved() {
		inst := m.instances[name]
		if command.Kind == KindRollingUpdate && (command.InProgress[name] || inst != nil && inst.Spare) {
			continue
		}
		m.recordResult(now, command, name, OutcomeCancelled, cause)
	}
}

// setState sets the state of the command as a whole, and its cause.
func (c *Command) setState(state CommandState, cause string) {
	c.State = state
	c.Cause = cause
}

// resume reopens a paused command and resets the counters that would pause it again at once.
func (c *Command) resume() {
	c.setState(CommandOpen, "")
	c.Failures = 0
	c.BlockedSince = 0
	c.RejectingSince = 0
}
