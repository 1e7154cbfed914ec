package sexpr

import (
	"errors"
	"fmt"
)

// Error is one error in a file, with its position.
type Error struct {
	File string
	Place
	Field   string // the path of the field, such as fleet.group.settle; may be empty
	Message string
}

func (e *Error) Error() string {
	field := ""
	if e.Field != "" {
		field = e.Field + ": "
	}
	return fmt.Sprintf("%s:%d:%d: %s%s", e.File, e.Line, e.Column, field, e.Message)
}

// Errors collects the errors of a file, so that all are reported together.
type Errors struct {
	File string
	list []error
}

// maxErrors is how many errors are reported of one file.
const maxErrors = 20

// Add adds an error at a position; further ones than maxErrors are dropped.
func (e *Errors) Add(at Place, field, format string, args ...any) {
	if len(e.list) < maxErrors {
		e.list = append(e.list, &Error{e.File, at, field, fmt.Sprintf(format, args...)})
	}
}

// Err returns all errors joined, each an *Error; nil if there is none.
func (e *Errors) Err() error { return errors.Join(e.list...) }
