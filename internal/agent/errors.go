package agent

import (
	"fmt"
	"net/http"

	"milletbarrow/internal/agentapi"
	"milletbarrow/internal/fleet"
)

// errStopped answers calls that come when the agent's loop has ended, or ends before their result is saved.
var errStopped = unavailable("the agent ends")

// errNoQuotas answers calls about quotas in a fleet whose file names none.
var errNoQuotas = &agentapi.StatusError{Status: http.StatusUnprocessableEntity, Text: "this fleet's file has no budgets"}

// unavailable is a rejection that may be over when the request is sent again.
func unavailable(text string) *agentapi.StatusError {
	return &agentapi.StatusError{Status: http.StatusServiceUnavailable, Text: text}
}

// UnnamedInstanceError reports an instance that runs on this host and that the fleet file does not name.
type UnnamedInstanceError struct{ Instance string }

func (e *UnnamedInstanceError) Error() string {
	return e.Instance + " runs here and the fleet's file does not name it any more: drain it first"
}

// ActionError reports an action that could not be carried out. Its text is that of the cause alone: the history and the
// log lines that show it name the instance and the action beside it.
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
	return fmt.Sprintf("the keeper ended with code %d: %s", e.Code, e.LastOutput)
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

// WriteOffError reports that the quota store did not write off what a holder has. Its text is Reason alone.
type WriteOffError struct {
	Holder string
	Reason string
}

func (e *WriteOffError) Error() string { return e.Reason }

// ListenConflictError reports two instances of one host that are configured to listen on the same address.
type ListenConflictError struct{ First, Second, Address string }

func (e *ListenConflictError) Error() string {
	return fmt.Sprintf("%s and %s listen on %s", e.First, e.Second, e.Address)
}
