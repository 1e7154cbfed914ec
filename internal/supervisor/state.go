package supervisor

import (
	"encoding/json"
	"errors"
	"os"

	"milletbarrow/internal/fleet"
	"milletbarrow/internal/process"
	"milletbarrow/monotime"
)

// State is the record that a supervisor writes down, so that another can take over and the agent can tell what became
// of an incarnation whose supervisor is gone. The file is read by other versions: its fields keep their names.
type State struct {
	Version     int              `json:"version"`
	Name        string           `json:"name"`
	Incarnation string           `json:"run"`
	Boot        string           `json:"boot"` // the boot of the machine that identities and times are of
	Supervisor  process.Identity `json:"keeper"`
	Instance    process.Identity `json:"instance"` // zero before it was started
	StartedAt   monotime.Micros  `json:"began"`
	NoticeID    string           `json:"told,omitempty"` // the step whose shutdown notice was taken
	NotifiedAt  monotime.Micros  `json:"told_at,omitempty"`
	Ended       bool             `json:"ended,omitempty"`
	End         fleet.Exit       `json:"end"`
}

// stateVersion is the version of the file and of the reports; a file of a newer one is not touched.
const stateVersion = 1

// ReadState reads a supervisor's state file. Errors are ErrNoState, *StateFileError, or those of the file system. A file from before a reboot of the machine counts
// as ended, and names no processes.
func ReadState(path string) (s State, err error) {
	raw, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return s, ErrNoState
	}
	if err != nil {
		return s, err
	}
	if err := json.Unmarshal(raw, &s); err != nil {
		return s, &StateFileError{path, err}
	}
	if s.Version > stateVersion {
		return s, &StateFileError{path, &VersionError{Version: s.Version, Known: stateVersion}}
	}
	if s.Boot != process.Boot() {
		s.Ended, s.End, s.Instance, s.Supervisor = true, fleet.Exit{Unobserved: true}, process.Identity{}, process.Identity{}
	}
	return s, nil
}

// write replaces the file atomically. It is not synced, as it has to outlive processes and not the machine, which ends
// them all.
func (s State) write(path string) error {
	s.Version, s.Boot = stateVersion, process.Boot()
	raw, err := json.Marshal(s)
	if err != nil {
		return err
	}
	next := path + ".next"
	if err := os.WriteFile(next, raw, 0o600); err != nil {
		return err
	}
	return os.Rename(next, path)
}
