package supervisor

import (
	"errors"
	"fmt"
)

var (
	// ErrNoState reports that there is no state file: no supervisor has started the instance.
	ErrNoState = errors.New("no supervisor has written its state")
	// ErrLocked reports that another supervisor holds the lock of the instance.
	ErrLocked = errors.New("another supervisor holds the instance")
	// ErrNoCommand reports that WaitAndExec was called without a command.
	ErrNoCommand = errors.New("no command to execute")
	// ErrSupervisorGone reports that the supervisor ended before it recorded the launcher's process.
	ErrSupervisorGone = errors.New("the supervisor ended before it recorded this process")
)

// SocketPathError reports a socket path that is longer than the system allows.
type SocketPathError struct{ Path string }

func (e *SocketPathError) Error() string {
	return fmt.Sprintf("socket path %s has %d bytes, at most %d are allowed: choose a shorter agent directory",
		e.Path, len(e.Path), maxSocketPath)
}

// StateFileError reports a state file that can't be used. Err is a *VersionError or an error of the JSON decoder.
type StateFileError struct {
	Path string
	Err  error
}

func (e *StateFileError) Error() string {
	return "supervisor state file " + e.Path + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *StateFileError) Unwrap() error { return e.Err }

// VersionError reports a format version that only newer builds can read.
type VersionError struct {
	Version int // found
	Known   int // the latest version that this build reads
}

func (e *VersionError) Error() string {
	return fmt.Sprintf("format version %d, expected at most %d", e.Version, e.Known)
}

// StateConflictError reports that the state file does not allow a supervisor to start or adopt an incarnation.
type StateConflictError struct {
	Name        string // of the instance
	Incarnation string // to be started or adopted
	Reason      string
}

func (e *StateConflictError) Error() string {
	return fmt.Sprintf("instance %s, incarnation %s: %s", e.Name, e.Incarnation, e.Reason)
}
