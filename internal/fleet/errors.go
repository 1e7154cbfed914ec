package fleet

import (
	"errors"
	"fmt"
	"strings"
)

// Causes of a rejected command. Decide returns them inside a CommandError.
var (
	ErrIDConflict = errors.New("another command with this id was accepted before")
	// ErrUnknownCommand has a fixed text: command-line clients of other releases compare it.
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

// CommandError reports a rejected operation on a command. Its message is that of Err.
type CommandError struct {
	Operation string // OperationAccept or the verb of CommandControl
	CommandID string
	Instance  string // the invalid instance; empty: the error is not about a single one
	Group     string // the invalid group; empty: the error is not about a single one
	Err       error  // the cause
}

// OperationAccept is the operation of a CommandError that rejects a new command.
const OperationAccept = "accept"

func (e *CommandError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *CommandError) Unwrap() error { return e.Err }

// commandError adds the operation and the command to a rejection.
func commandError(operation, id string, err error) error {
	rejection, ok := errors.AsType[*CommandError](err)
	if !ok {
		rejection = &CommandError{Err: err}
	}
	rejection.Operation = operation
	rejection.CommandID = id
	return rejection
}

// FieldError reports an invalid field of a command or of a rolling update's configuration.
type FieldError struct {
	Field  string // its JSON name; "least" for least_count and least_share together
	Reason string
	Err    error // the underlying error; nil: there is none
}

func (e *FieldError) Error() string { return e.Field + ": " + e.Reason }

// Unwrap returns the cause, which may be nil.
func (e *FieldError) Unwrap() error { return e.Err }

func fieldErrorf(field, format string, args ...any) *FieldError {
	return &FieldError{Field: field, Reason: fmt.Sprintf(format, args...)}
}

// VerbError reports an unknown operation on a command.
type VerbError struct{ Verb Verb }

func (e *VerbError) Error() string {
	return fmt.Sprintf("unknown operation %q, wanted pause, resume or cancel", e.Verb)
}

// NameError reports an invalid name of a host, a group, an instance or a command.
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

// SelectionError reports a word of a selection that matches no instance.
type SelectionError struct {
	Kind  string // "instance", "group", "label" or "host"
	Word  string
	Fleet string
}

func (e *SelectionError) Error() string {
	return fmt.Sprintf("%s %q matches nothing in fleet %s", e.Kind, e.Word, e.Fleet)
}

// SpecError reports one error in a fleet's file. Its message is that of Err.
type SpecError struct {
	SpecSubject
	Err error // a *sexpr.Error with the position and the path of the field
}

// SpecSubject names the host, group, instance or quota that an error is about. The fields that do not apply are empty;
// all are empty if the error is about the fleet as a whole.
type SpecSubject struct {
	Host     string
	Group    string
	Instance string
	Quota    string
}

func (e *SpecError) Error() string { return e.Err.Error() }

// Unwrap returns the error with the position and the path of the field.
func (e *SpecError) Unwrap() error { return e.Err }
