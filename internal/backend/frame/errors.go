package frame

import (
	"errors"
	"fmt"
)

// Errors of the payload of a frame. Those of a field are wrapped in a *FieldError.
var (
	ErrTruncated      = errors.New("payload is truncated")
	ErrMissingField   = errors.New("missing")
	ErrDuplicateField = errors.New("given more than once")
	ErrInvalidID      = errors.New("not 16 hex digits")
	ErrNotNumber      = errors.New("not a number")
	ErrOutOfRange     = errors.New("out of range")
)

// LengthError reports a length that no frame can have. The frames after it cannot be found.
type LengthError struct {
	Length uint32 // bytes, as read
}

// Error returns a text that the server also sends to the peer: it is part of the protocol.
func (e *LengthError) Error() string { return fmt.Sprintf("frame length %d", e.Length) }

// FieldError reports an error in one field of a frame.
type FieldError struct {
	Field string // its name in the frame
	Err   error
}

func (e *FieldError) Error() string { return fmt.Sprintf("field %.20q: %v", e.Field, e.Err) }

// Unwrap returns the cause.
func (e *FieldError) Unwrap() error { return e.Err }

// BodySizeError reports an invocation whose body is too long.
type BodySizeError struct {
	Size  int // bytes
	Limit int // bytes
}

func (e *BodySizeError) Error() string {
	return fmt.Sprintf("body of %d bytes exceeds %d", e.Size, e.Limit)
}
