package degradation

import "fmt"

// OverrideError reports an invalid override of the level.
type OverrideError struct {
	Field   string // the invalid field of the override: level or until
	Problem string // what is wrong with its value
}

func (e *OverrideError) Error() string { return e.Field + ": " + e.Problem }

// overrideError returns an OverrideError whose Problem is formatted from format and args.
func overrideError(field, format string, args ...any) error {
	return &OverrideError{Field: field, Problem: fmt.Sprintf(format, args...)}
}

// UnknownNameError reports a rule that names an operation or a tenant that the deployment does not have.
type UnknownNameError struct {
	Level string // level that the rule belongs to
	Kind  string // operation or tenant
	Name  string // the unknown name
}

func (e *UnknownNameError) Error() string {
	return fmt.Sprintf("level %s: %s %q does not exist in the deployment", e.Level, e.Kind, e.Name)
}

// TraceError reports a line of a trace that cannot be read.
type TraceError struct {
	File    string // the name passed to ReadTrace
	Line    int    // from 1
	Problem string // what is wrong with the line
}

func (e *TraceError) Error() string { return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Problem) }
