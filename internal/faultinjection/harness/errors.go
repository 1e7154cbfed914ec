package harness

import (
	"errors"
	"fmt"
	"time"
)

// ErrNoLeader means that no agent led the quota store when a fault was to hit its leader.
var ErrNoLeader = errors.New("nobody leads")

// ToolError is a fleet sub-command that failed.
type ToolError struct {
	Command        string
	Stderr, Stdout string
	Err            error
}

func (e *ToolError) Error() string {
	return fmt.Sprintf("fleet %s: %v: %s %s", e.Command, e.Err, e.Stderr, e.Stdout)
}

func (e *ToolError) Unwrap() error { return e.Err }

// WaitError is a condition that did not become true in time.
type WaitError struct {
	Condition string
	Limit     time.Duration
}

func (e *WaitError) Error() string { return fmt.Sprintf("no %s within %v", e.Condition, e.Limit) }

// CrashPointError is an agent that did not come to the point at which it was to die.
type CrashPointError struct{ Host, Point string }

func (e *CrashPointError) Error() string {
	return fmt.Sprintf("%s did not come to %q", e.Host, e.Point)
}

// UnknownQuotaError is a fault on a quota that the trial does not have.
type UnknownQuotaError struct{ Name string }

func (e *UnknownQuotaError) Error() string { return fmt.Sprintf("no budget %q", e.Name) }

// HoldsError is a schedule that was to be made smaller and held in every attempt.
type HoldsError struct {
	Schedule string
	Attempts int
}

func (e *HoldsError) Error() string {
	return fmt.Sprintf("%s holds in %d tries: there is nothing to make smaller", e.Schedule, e.Attempts)
}
