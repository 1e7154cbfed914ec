package agent

import (
	"fmt"
	"net/http"

	"milletbarrow/internal/agentapi"
	"milletbarrow/internal/fleet"
)

var (
	// errStopped is returned for a call that the loop did not run, or whose result it did not save, before it ended.
	errStopped = unavailable("the agent is shutting down")
	// errBusy is returned for a call that found no room in the loop's queue in time.
	errBusy = unavailable("the agent is busy")
	// errNotSavedInTime is returned for a queued call whose result was not saved in time.
	errNotSavedInTime = unavailable("the agent is busy and may still execute the request: poll for its result")
	// errNoQuotas is returned for calls about quotas if the fleet has none.
	errNoQuotas = &agentapi.StatusError{
		Status: http.StatusUnprocessableEntity,
		Text:   "the fleet file configures no budgets",
	}
)

// unavailable returns a status 503 error, after which the client may retry.
func unavailable(text string) *agentapi.StatusError {
	return &agentapi.StatusError{Status: http.StatusServiceUnavailable, Text: text}
}

// UnnamedInstanceError reports an instance that runs on this host but is missing from the fleet file.
type UnnamedInstanceError struct{ Instance string }

func (e *UnnamedInstanceError) Error() string {
	return "instance " + e.Instance + " runs on this host and is not named in the fleet file: drain it first"
}

// ActionError reports an action that could not be performed. Its text is that of the cause only, because the history
// and the log lines that show it have separate fields for the instance and the action.
type ActionError struct {
	Action   fleet.ActionKind
	Instance string
	Err      error
}

func (e *ActionError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *ActionError) Unwrap() error { return e.Err }

// SupervisorExitError reports a supervisor that exited before it recorded that it supervises its incarnation.
type SupervisorExitError struct {
	Code       int
	LastOutput string // last line of its log
}

func (e *SupervisorExitError) Error() string {
	return fmt.Sprintf("supervisor exited with code %d: %s", e.Code, e.LastOutput)
}

// ConfigError reports an instance whose configuration can't be used.
type ConfigError struct {
	Instance string
	Err      error // names the file; a *ConfigFileError if the instance's own configuration can't be used
}

func (e *ConfigError) Error() string { return e.Instance + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *ConfigError) Unwrap() error { return e.Err }

// ConfigFileError reports a configuration file of an instance that can't be read or is invalid.
type ConfigFileError struct {
	File string
	Err  error
}

func (e *ConfigFileError) Error() string { return e.File + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *ConfigFileError) Unwrap() error { return e.Err }

// WriteOffError reports that the quota store rejected the write-off of a holder. Its text is the reason only.
type WriteOffError struct {
	Holder string
	Reason string
}

func (e *WriteOffError) Error() string { return e.Reason }

// ListenConflictError reports two instances of one host that are configured to listen on the same address.
type ListenConflictError struct {
	First   string // name of an instance
	Second  string // name of the other instance
	Address string
}

func (e *ListenConflictError) Error() string {
	return fmt.Sprintf("instances %s and %s both listen on %s", e.First, e.Second, e.Address)
}
