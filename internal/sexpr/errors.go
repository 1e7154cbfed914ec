package sexpr

import (
	"errors"
	"fmt"
)

// Error is an error at a position in a file.
type Error struct {
	File string
	Place
	// Field is the path of the field, such as fleet.group.settle; empty if the error concerns no field.
	Field string
	// Message says what was found and what was expected.
	Message string
}

func (e *Error) Error() string {
	message := e.Message
	if e.Field != "" {
		message = e.Field + ": " + message
	}
	return fmt.Sprintf("%s:%d:%d: %s", e.File, e.Line, e.Column, message)
}

// maxErrors is the maximum number of errors that are reported for one file.
const maxErrors = 20

// Errors collects the errors of a file, to report them together.
type Errors struct {
	// File is the file's name in the errors.
	File string
	list []error
}

// Add adds an error at a position. Only the first maxErrors are kept.
func (e *Errors) Add(at Place, field, format string, args ...any) {
	if len(e.list) < maxErrors {
		e.list = append(e.list, &Error{
			File:    e.File,
			Place:   at,
			Field:   field,
			Message: fmt.Sprintf(format, args...),
		})
	}
}

// Err joins the errors, each of which is an *Error. It returns nil if there are none.
func (e *Errors) Err() error { return errors.Join(e.list...) }
