package supervisor

import (
	"errors"
	"fmt"
)

var (
	// ErrNoState means that no state was ever written: no instance was started.
	ErrNoState = errors.New("no supervisor has written its state")
	// ErrLocked means that another supervisor is in charge of the instance.
	ErrLocked = errors.New("another supervisor holds the instance")
	// ErrNoCommand means that a launcher got no command to become.
	ErrNoCommand = errors.New("nothing to begin")
	// ErrSupervisorGone means that the supervisor of a launcher ended before it recorded the launcher's process.
	ErrSupervisorGone = errors.New("the supervisor is gone")
)

// SocketPathError reports a socket whose path is longer than the system allows.
type SocketPathError struct{ Path string }

func (e *SocketPathError) Error() string {
	return fmt.Sprintf("%s: %d bytes, and a socket's path can have %d: take a shorter directory", e.Path, len(e.Path), maxSocketPath)
}

// StateFileError reports a state file that is there and can't be used. Err is a *VersionError or that of the JSON.
type StateFileError struct {
	Path string
	Err  error
}

func (e *StateFileError) Error() string { return e.Path + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *StateFileError) Unwrap() error { return e.Err }

// VersionError reports what a newer build wrote.
type VersionError struct{ Version, Known int }

func (e *VersionError) Error() string {
	return fmt.Sprintf("version %d, and this build knows %d", e.Version, e.Known)
}

// StateConflictError means that the state file does not allow a supervisor to start or adopt an incarnation.
type StateConflictError struct {
	Name        string // the instance
	Incarnation string // the incarnation that was to be started or adopted
	Reason      string
}

func (e *StateConflictError) Error() string {
	return fmt.Sprintf("instance %s, run %s: %s", e.Name, e.Incarnation, e.Reason)
}
