package simulation

import (
	"fmt"
	"strings"
)

// ScenarioError says which field makes a scenario impossible to play, and why.
type ScenarioError struct {
	Scenario string
	Field    string // as in experiment files, such as "hosts.count"
	Reason   string
}

func (e *ScenarioError) Error() string {
	return fmt.Sprintf("scenario %s: %s: %s", e.Scenario, e.Field, e.Reason)
}

// UnknownPolicyError names a policy that does not exist.
type UnknownPolicyError struct {
	Name  string
	Known []string
}

func (e *UnknownPolicyError) Error() string {
	return fmt.Sprintf("no policy %q, there are %s", e.Name, strings.Join(e.Known, ", "))
}

// RecordedError says what is wrong with a line of a recorded load. Line and Column count from 1.
type RecordedError struct {
	File         string
	Line, Column int
	Reason       string
}

func (e *RecordedError) Error() string {
	return fmt.Sprintf("%s:%d:%d: %s", e.File, e.Line, e.Column, e.Reason)
}
