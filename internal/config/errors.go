package config

import "fmt"

// FieldError reports a field that is invalid or not supported.
type FieldError struct {
	Field   string // its path in the configuration file, such as settings.classes[0].name
	Problem string // what is wrong with its value
}

func (e *FieldError) Error() string { return e.Field + ": " + e.Problem }

// fieldError returns a *FieldError for the field with that path; format and args make its Problem.
func fieldError(field, format string, args ...any) error {
	return &FieldError{Field: field, Problem: fmt.Sprintf(format, args...)}
}

// DecodeError reports a configuration that cannot be decoded: its JSON is malformed, or a value has the wrong type.
type DecodeError struct {
	Err error
}

func (e *DecodeError) Error() string { return "not a configuration: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error { return e.Err }
