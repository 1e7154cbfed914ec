package fleet

import (
	"errors"
	"fmt"
	"strings"
)

// Why a command is rejected; Decide returns them inside a CommandError.
var (
	ErrIDConflict = errors.New("another command with this id was accepted before")
	// ErrUnknownCommand keeps its text: command-line clients of other releases compare it.
	ErrUnknownCommand   = errors.New("no such command")
	ErrTooManyCommands  = errors.New("too many open commands")
	ErrUpdateInProgress = errors.New("another rolling update is open: cancel it or wait for its end")
	ErrCommandEnded     = errors.New("the command has ended")
	ErrNotPausable      = errors.New("only a rolling update can be paused or resumed")
)

// Errors of Spec.Select and Preview.
var (
	ErrEmptySelection  = errors.New("no instance is selected: give names, --group, --label, --host or --all")
	ErrUpdateNeverEnds = errors.New("the rolling update would never end with these settings")
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
	return fmt.Sprintf("unknown operation %q, wanted pause, resume or cancel", e.Verb)
}

// NameError reports a string that can't name a host, a group, an instance or a command.
type NameError struct{ Name string }

func (e *NameError) Error() string {
	return fmt.Sprintf("invalid name %q, wanted at most %d letters, digits, . - _, not beginning with . or -",
		e.Name, maxNameLength)
}

// AddressError reports an address that an agent can't listen on.
type AddressError struct{ Address string }

func (e *AddressError) Error() string {
	if path, ok := strings.CutPrefix(e.Address, unixPrefix); ok {
		return fmt.Sprintf("%q is not an absolute path of at most %d bytes", path, maxSocketPath)
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
