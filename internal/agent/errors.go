package agent

import (
	"fmt"
	"net/http"

	"milletbarrow/internal/agentapi"
	"milletbarrow/internal/fleet"
)

var (
	// errStopped answers a call that comes after the end of the loop, or whose result is not saved by then.
	errStopped = unavailable("the agent is shutting down")
	// errBusy answers a call that the loop did not take in time.
	errBusy = unavailable("the agent is busy")
	// errNotSavedInTime answers a call that the loop took and whose result is not saved in time.
	errNotSavedInTime = unavailable("the agent is busy and may still execute the request: poll for its result")
	// errNoQuotas answers calls about quotas in a fleet without quotas.
	errNoQuotas = &agentapi.StatusError{
		Status: http.StatusUnprocessableEntity,
		Text:   "the fleet file configures no budgets",
	}
)

// unavailable returns a rejection of a request that may be accepted when it is sent again.
func unavailable(text string) *agentapi.StatusError {
	return &agentapi.StatusError{Status: http.StatusServiceUnavailable, Text: text}
}

// UnnamedInstanceError reports an instance that runs on this host and is not named in the fleet file.
type UnnamedInstanceError struct{ Instance string }

func (e *UnnamedInstanceError) Error() string {
	return "instance " + e.Instance + " runs on this host and is not named in the fleet file: drain it first"
}

// ActionError reports an action that could not be performed. Its text is that of the cause: the history and the log
// lines that show it have the instance and the action in fields of their own.
type ActionError struct {
	Action   fleet.ActionKind
	Instance string
	Err      error
}

func (e *ActionError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *ActionError) Unwrap() error { return e.Err }

// SupervisorExitError reports a supervisor that exited without taking charge of its incarnation.
type SupervisorExitError struct {
	Code       int
	LastOutput string // the last line of its log
}

func (e *SupervisorExitError) Error() string {
	return fmt.Sprintf("supervisor exited with code %d: %s", e.Code, e.LastOutput)
}

// ConfigError reports an instance whose configuration can't be used.
type ConfigError struct {
	Instance string
	Err      error // names the file; for an instance's own configuration a *ConfigFileError
}

func (e *ConfigError) Error() string { return e.Instance + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *ConfigError) Unwrap() error { return e.Err }

// ConfigFileError reports an instance's own configuration that can't be read or used.
type ConfigFileError struct {
	File string
	Err  error
}

func (e *ConfigFileError) Error() string { return e.File + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *ConfigFileError) Unwrap() error { return e.Err }

// WriteOffError reports that the quota store rejected the write-off of a holder. Its text is the reason.
type WriteOffError struct {
	Holder string
	Reason string
}

func (e *WriteOffError) Error() string { return e.Reason }

// ListenConflictError reports two instances of one host that are configured to listen on the same address.
type ListenConflictError struct {
	First   string // instance
	Second  string // instance
	Address string
}

func (e *ListenConflictError) Error() string {
	return fmt.Sprintf("instances %s and %s both listen on %s", e.First, e.Second, e.Address)
}
