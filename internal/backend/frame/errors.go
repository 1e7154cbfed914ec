package frame

import (
	"errors"
	"fmt"
)

// What can be wrong with the payload of a frame. Errors about a field wrap one of these in a FieldError.
var (
	ErrTruncated      = errors.New("cut short")
	ErrMissingField   = errors.New("a field is missing")
	ErrDuplicateField = errors.New("stands twice")
	ErrInvalidID      = errors.New("not 16 hex digits")
	ErrNotNumber      = errors.New("not a number")
	ErrOutOfRange     = errors.New("out of range")
	ErrNoHeader       = errors.New("a frame without a head")
)

// LengthError is a length that no frame can have. The frames after it cannot be told apart.
type LengthError struct {
	Length uint32 // bytes, as read
}

func (e *LengthError) Error() string { return fmt.Sprintf("frame length %d", e.Length) }

// FieldError is an error in one field of a frame.
type FieldError struct {
	Field string // its name, as sent
	Err   error
}

func (e *FieldError) Error() string { return fmt.Sprintf("field %.20q: %v", e.Field, e.Err) }

// Unwrap returns the cause.
func (e *FieldError) Unwrap() error { return e.Err }

// BodySizeError is an invocation whose body exceeds the maximum.
type BodySizeError struct {
	Size int // bytes
}

func (e *BodySizeError) Error() string { return fmt.Sprintf("body of %d bytes", e.Size) }

// retryAfterError is an answer's field "after" that is not a time in milliseconds.
type retryAfterError struct{ value string }

func (e *retryAfterError) Error() string { return fmt.Sprintf("after %q", e.value) }
