package supervisor

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"milletbarrow/internal/fleet"
	"milletbarrow/internal/process"
	"milletbarrow/monotime"
)

// State is the content of the state file. By it another supervisor can take over, and the agent can tell what became of
// an incarnation whose supervisor is gone. Other releases read the file: its fields keep their JSON names.
type State struct {
	Version     int              `json:"version"` // stateVersion of the build that wrote it
	Name        string           `json:"name"`    // of the instance
	Incarnation string           `json:"run"`
	Boot        string           `json:"boot"`              // the boot of the machine that identities and times are of
	Supervisor  process.Identity `json:"keeper"`            // zero: the machine was rebooted
	Instance    process.Identity `json:"instance"`          // zero: not started yet, or the machine was rebooted
	StartedAt   monotime.Micros  `json:"began"`             // when the incarnation was claimed for the first time
	NoticeID    string           `json:"told,omitempty"`    // the action of the shutdown notice; empty: no notice
	NotifiedAt  monotime.Micros  `json:"told_at,omitempty"` // valid with NoticeID
	Ended       bool             `json:"ended,omitempty"`
	End         fleet.Exit       `json:"end"` // valid with Ended
}

// stateVersion is the format version of the state file and of reports. A file of a newer version is left as it is.
const stateVersion = 1

// ReadState reads a supervisor's state file. In a file from before a reboot of the machine the incarnation has ended,
// and no processes are named. Errors are ErrNoState, *StateFileError, or those of the file system.
func ReadState(path string) (State, error) {
	raw, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return State{}, ErrNoState
	}
	if err != nil {
		return State{}, err
	}
	var s State
	if err := json.Unmarshal(raw, &s); err != nil {
		return s, &StateFileError{Path: path, Err: err}
	}
	if s.Version > stateVersion {
		return s, &StateFileError{Path: path, Err: &VersionError{Version: s.Version, Known: stateVersion}}
	}
	if s.Boot != process.Boot() {
		return s.endedByReboot(), nil
	}
	return s, nil
}

// endedByReboot returns the state after a reboot of the machine, which ended the instance and its supervisor.
func (s State) endedByReboot() State {
	s.Ended = true
	s.End = fleet.Exit{Unobserved: true}
	s.Instance = process.Identity{}
	s.Supervisor = process.Identity{}
	return s
}

// write replaces the state file atomically. It does not sync the file: a crash of the machine ends all the processes
// that the file is about.
func (s State) write(path string) error {
	s.Version = stateVersion
	s.Boot = process.Boot()
	raw, err := json.Marshal(s)
	if err != nil {
		return fmt.Errorf("encode supervisor state: %w", err)
	}
	next := path + ".next"
	if err := os.WriteFile(next, raw, fileMode); err != nil {
		return err
	}
	return os.Rename(next, path)
}
