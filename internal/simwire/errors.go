package simwire

import (
	"errors"
	"fmt"

	"milletbarrow/admission"
)

// Causes of a MessageError without details.
var (
	// ErrUnknownMessage reports a message whose name the protocol does not define.
	ErrUnknownMessage = errors.New("unknown message")
	// ErrNotObject reports a message whose fields are not a JSON object.
	ErrNotObject = errors.New("fields are not a JSON object")
)

// MessageError reports an invalid message.
type MessageError struct {
	// Message is the name of the message on the wire.
	Message string
	// Err is the cause.
	Err error
}

func (e *MessageError) Error() string { return e.Message + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *MessageError) Unwrap() error { return e.Err }

// SyntaxError reports a line that is not a JSON object.
type SyntaxError struct{ Err error }

func (e *SyntaxError) Error() string { return "not a JSON object: " + e.Err.Error() }

// Unwrap returns the JSON decoder's error.
func (e *SyntaxError) Unwrap() error { return e.Err }

// NameCountError reports an object without exactly one key, which is the name of the message.
type NameCountError struct{ Names int }

func (e *NameCountError) Error() string {
	return fmt.Sprintf("expected one message name, found %d", e.Names)
}

// MissingFieldError reports a required field that is missing from a message. If several fields are required together,
// Field names all of them.
type MissingFieldError struct{ Field string }

func (e *MissingFieldError) Error() string { return e.Field + " is missing" }

// UnknownOutcomeError reports a state_code that the protocol does not define.
type UnknownOutcomeError struct{ Code string }

func (e *UnknownOutcomeError) Error() string { return fmt.Sprintf("unknown state_code %q", e.Code) }

// UnknownActionError reports an action that has no message on the wire.
type UnknownActionError struct{ Action admission.Action }

func (e *UnknownActionError) Error() string { return fmt.Sprintf("action %T has no message", e.Action) }
