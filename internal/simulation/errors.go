package simulation

import (
	"fmt"
	"strings"
)

// ScenarioError is returned for a scenario that can't be simulated. It names the invalid field.
type ScenarioError struct {
	Scenario string
	Field    string // name as in experiment files, such as "hosts.count"
	Reason   string
}

// Error implements error.
func (e *ScenarioError) Error() string {
	return fmt.Sprintf("scenario %s: %s: %s", e.Scenario, e.Field, e.Reason)
}

// UnknownPolicyError is returned for the name of a policy that does not exist.
type UnknownPolicyError struct {
	Name  string
	Known []string
}

// Error implements error.
func (e *UnknownPolicyError) Error() string {
	return fmt.Sprintf("no policy %q, there are %s", e.Name, strings.Join(e.Known, ", "))
}

// RecordedError is returned for an invalid line of a recorded load. Line and Column count from 1.
type RecordedError struct {
	File         string
	Line, Column int
	Reason       string
}

// Error implements error.
func (e *RecordedError) Error() string {
	return fmt.Sprintf("%s:%d:%d: %s", e.File, e.Line, e.Column, e.Reason)
}
