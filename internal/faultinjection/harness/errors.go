package harness

import (
	"errors"
	"fmt"
	"time"
)

// ErrNoLeader reports that the quota store had no leader when a fault on its leader was due.
var ErrNoLeader = errors.New("the quota store has no leader")

// ToolError reports a fleet sub-command that failed.
type ToolError struct {
	Command string // with its arguments
	Stderr  string
	Stdout  string
	Err     error
}

// Error names the sub-command and the cause, and quotes the output.
func (e *ToolError) Error() string {
	return fmt.Sprintf("fleet %s: %v: %s %s", e.Command, e.Err, e.Stderr, e.Stdout)
}

// Unwrap returns the cause.
func (e *ToolError) Unwrap() error { return e.Err }

// WaitError reports a condition that did not become true within the time limit.
type WaitError struct {
	Condition string
	Limit     time.Duration
}

// Error names the condition and the limit.
func (e *WaitError) Error() string { return fmt.Sprintf("no %s within %v", e.Condition, e.Limit) }

// CrashPointError reports an agent that did not reach the failpoint at which it was to end.
type CrashPointError struct {
	Host  string
	Point string
}

// Error names the host and the failpoint.
func (e *CrashPointError) Error() string {
	return fmt.Sprintf("agent of %s did not reach failpoint %q", e.Host, e.Point)
}

// UnknownQuotaError reports a fault on a quota that the trial does not have.
type UnknownQuotaError struct {
	Name string // of the quota
}

// Error names the quota.
func (e *UnknownQuotaError) Error() string { return fmt.Sprintf("the trial has no quota %q", e.Name) }

// NoFailureError reports a schedule that cannot be shrunk because no attempt at it failed.
type NoFailureError struct {
	Schedule string // name
	Attempts int
}

// Error names the schedule and the number of attempts.
func (e *NoFailureError) Error() string {
	return fmt.Sprintf("schedule %s passed in all %d attempts: no failure to shrink", e.Schedule, e.Attempts)
}
