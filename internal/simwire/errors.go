package simwire

import (
	"errors"
	"fmt"

	"milletbarrow/admission"
)

// Causes of a MessageError that have no details.
var (
	ErrUnknownMessage = errors.New("unknown message")
	ErrNotObject      = errors.New("the fields are not an object")
)

// MessageError says what is wrong with a message.
type MessageError struct {
	Message string // its name on the wire
	Err     error
}

func (e *MessageError) Error() string { return e.Message + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *MessageError) Unwrap() error { return e.Err }

// SyntaxError says that a line is not a JSON object.
type SyntaxError struct{ Err error }

func (e *SyntaxError) Error() string { return "not a JSON object: " + e.Err.Error() }

// Unwrap returns the JSON decoder's error.
func (e *SyntaxError) Unwrap() error { return e.Err }

// NameCountError says that a line has no name or several instead of one.
type NameCountError struct{ Names int }

func (e *NameCountError) Error() string {
	return fmt.Sprintf("a message has one name, this has %d", e.Names)
}

// MissingFieldError names a field, or alternatives, that a message needs.
type MissingFieldError struct{ Field string }

func (e *MissingFieldError) Error() string { return e.Field + " is missing" }

// UnknownOutcomeError names a state_code that the protocol does not have.
type UnknownOutcomeError struct{ Code string }

func (e *UnknownOutcomeError) Error() string { return fmt.Sprintf("unknown state_code %q", e.Code) }

// UnknownActionError names an action that has no line on the wire.
type UnknownActionError struct{ Action admission.Action }

func (e *UnknownActionError) Error() string { return fmt.Sprintf("no line for action %T", e.Action) }
