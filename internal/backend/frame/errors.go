package frame

import (
	"errors"
	"fmt"
)

// Decoding errors of a payload. Errors of a single field are wrapped in a *FieldError.
var (
	ErrTruncated      = errors.New("payload is truncated")
	ErrMissingField   = errors.New("required field is missing")
	ErrDuplicateField = errors.New("field is given more than once")
	ErrInvalidID      = errors.New("value is not 16 hex digits")
	ErrNotNumber      = errors.New("value is not a valid number")
	ErrOutOfRange     = errors.New("number is out of range")
)

// LengthError reports a frame length outside the allowed range. The start of the next frame is then unknown.
type LengthError struct {
	Length uint32 // the decoded length, in bytes
}

// Error returns the text that the server also sends to the peer, which makes it part of the protocol.
func (e *LengthError) Error() string { return fmt.Sprintf("frame length %d", e.Length) }

// FieldError reports an error in one field of a frame.
type FieldError struct {
	Field string // name of the field on the wire
	Err   error
}

func (e *FieldError) Error() string { return fmt.Sprintf("field %.20q: %v", e.Field, e.Err) }

// Unwrap returns the underlying error.
func (e *FieldError) Unwrap() error { return e.Err }

// BodySizeError reports an invocation whose body exceeds the limit.
type BodySizeError struct {
	Size  int // bytes
	Limit int // bytes
}

func (e *BodySizeError) Error() string {
	return fmt.Sprintf("body of %d bytes exceeds %d", e.Size, e.Limit)
}
