package fleet

import (
	"errors"
	"fmt"
	"strings"
)

// Why a command is rejected; Decide returns them inside a CommandError.
var (
	ErrIDConflict       = errors.New("a command with this id and other content was taken before")
	ErrUnknownCommand   = errors.New("no such command")
	ErrTooManyCommands  = errors.New("too many commands are open")
	ErrUpdateInProgress = errors.New("a wave is open; cancel it, or wait for its end")
	ErrCommandEnded     = errors.New("the command has ended")
	ErrNotPausable      = errors.New("only a wave can be held") // pause and resume are of rolling updates alone
)

// Errors of Spec.Select and Preview.
var (
	ErrEmptySelection  = errors.New("no instance is selected: give names, --group, --label, --host or --all")
	ErrUpdateNeverEnds = errors.New("the wave does not come to its end by these terms")
)

// CommandError reports which operation on which command was rejected, and why. Its text is that of Err alone.
type CommandError struct {
	Operation string // OperationAccept or the verb of CommandControl
	CommandID string
	Instance  string // empty: the rejection is not about a single instance
	Group     string // empty: the rejection is not about a single group
	Err       error
}

// OperationAccept is the operation of a CommandError about a new command.
const OperationAccept = "accept"

func (e *CommandError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *CommandError) Unwrap() error { return e.Err }

// commandError completes a rejection by the operation and the command.
func commandError(operation, id string, err error) error {
	rejection, ok := errors.AsType[*CommandError](err)
	if !ok {
		rejection = &CommandError{Err: err}
	}
	rejection.Operation, rejection.CommandID = operation, id
	return rejection
}

// FieldError reports a field of a command, or of a rolling update's configuration, that can't be used.
type FieldError struct {
	Field  string // as JSON names it
	Reason string
	Err    error // the cause; nil: Reason says everything
}

func (e *FieldError) Error() string { return e.Field + ": " + e.Reason }

// Unwrap returns the cause, which may be nil.
func (e *FieldError) Unwrap() error { return e.Err }

func fieldErrorf(field, format string, args ...any) *FieldError {
	return &FieldError{Field: field, Reason: fmt.Sprintf(format, args...)}
}

// VerbError reports an operation on a command that does not exist.
type VerbError struct{ Verb Verb }

func (e *VerbError) Error() string {
	return fmt.Sprintf("%q is none of pause, resume, cancel", e.Verb)
}

// NameError reports a string that can't name a host, a group, an instance or a command.
type NameError struct{ Name string }

func (e *NameError) Error() string {
	return fmt.Sprintf("%q is no name: letters, digits, . - _ and at most %d of them", e.Name, maxNameLength)
}

// AddressError reports an address that an agent can't listen on.
type AddressError struct{ Address string }

func (e *AddressError) Error() string {
	if path, ok := strings.CutPrefix(e.Address, unixPrefix); ok {
		return fmt.Sprintf("%q is no absolute path of at most %d bytes", path, maxSocketPath)
	}
	return fmt.Sprintf("%q is neither unix:PATH nor 127.x.x.x:PORT", e.Address)
}

// SelectionError reports a word of a selection that matches nothing.
type SelectionError struct {
	Kind  string // "instance", "group", "label" or "host"
	Word  string
	Fleet string
}

func (e *SelectionError) Error() string {
	return fmt.Sprintf("%s %q matches nothing in fleet %s", e.Kind, e.Word, e.Fleet)
}

// SpecError reports one thing that is wrong with a fleet's file. Its text is that of Err alone.
type SpecError struct {
	SpecSubject
	Err error // a *sexpr.Error with the place and the path of the field
}

// SpecSubject is what a part of a fleet's file describes. What it does not name is empty; all is empty for the fleet
// itself.
type SpecSubject struct{ Host, Group, Instance, Quota string }

func (e *SpecError) Error() string { return e.Err.Error() }

// Unwrap returns the error with the place and the path of the field.
func (e *SpecError) Unwrap() error { return e.Err }
