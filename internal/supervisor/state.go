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

// State is the content of the state file. From the file another supervisor can adopt the instance, and the agent can
// tell how an incarnation ended whose supervisor is gone. Other releases read the file, so its fields keep their JSON
// names.
type State struct {
	Version     int              `json:"version"` // stateVersion of the build that wrote it
	Name        string           `json:"name"`    // of the instance
	Incarnation string           `json:"run"`
	Boot        string           `json:"boot"`     // boot of the host in which identities and times are valid
	Supervisor  process.Identity `json:"keeper"`   // zero: the host was rebooted
	Instance    process.Identity `json:"instance"` // zero: not started yet, or the host was rebooted
	StartedAt   monotime.Micros  `json:"began"`    // when the incarnation was first claimed
	// Window is that of the configuration with which the instance runs; zero: not known, as in files of releases that
	// did not record it.
	Window     fleet.ShutdownWindow `json:"window,omitzero"`
	NoticeID   string               `json:"told,omitempty"`    // ID of the shutdown notice's action; empty: no notice
	NotifiedAt monotime.Micros      `json:"told_at,omitempty"` // valid with NoticeID
	// Acknowledged reports that the instance drains within the window of the notice. Files of releases that did not
	// record it have none.
	Acknowledged bool       `json:"heard,omitempty"`
	Ended        bool       `json:"ended,omitempty"`
	End          fleet.Exit `json:"end"` // valid with Ended
}

// stateVersion is the format version of the state file and of reports. A state file of a newer version is an error and
// is not overwritten.
const stateVersion = 1

// ReadState reads a supervisor's state file. If the file was written before the latest reboot of the host, the returned
// state says that the incarnation has ended, and has no processes. Errors are ErrNoState, *StateFileError, or those of
// the file system.
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

// endedByReboot returns the state after a reboot of the host, which ended the instance and its supervisor.
func (s State) endedByReboot() State {
	s.Ended = true
	s.End = fleet.Exit{Unobserved: true}
	s.Instance = process.Identity{}
	s.Supervisor = process.Identity{}
	return s
}

// write replaces the state file atomically. It does not sync the file, because a crash of the host ends all processes
// that the file describes.
func (s State) write(path string) error {
	s.Version = stateVersion
	s.Boot = process.Boot()
	raw, err := json.Marshal(s)
	if err != nil {
		return fmt.Errorf("encode supervisor state: %w", err)
	}
	temporary := path + ".next"
	if err := os.WriteFile(temporary, raw, fileMode); err != nil {
		return err
	}
	return os.Rename(temporary, path)
}
