package supervisor

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"

	"milletbarrow/internal/fleet"
	"milletbarrow/internal/process"
)

// Paths are the files of one instance's keeper.
type Paths struct{ State, Socket, Admin, Log, Lock string }

// mostPath is what the system allows a Unix socket's path, less the zero at its end.
const mostPath = 107

// PathsOf names the files of an instance under the agent's directory.
func PathsOf(dir, name string) Paths {
	at := func(end string) string { return filepath.Join(dir, "keepers", name+end) }
	return Paths{at(".json"), at(".sock"), at(".inspect"), at(".log"), at(".lock")}
}

// Check tells of a directory whose sockets can't be opened.
func (p Paths) Check() error {
	if n := len(p.Admin); n > mostPath {
		return fmt.Errorf("%s: %d bytes, and a socket's path can have %d: take a shorter directory", p.Admin, n, mostPath)
	}
	return nil
}

// State is what a keeper writes down, so that another can take over and the agent can tell what became of a life
// whose keeper is gone.
type State struct {
	Version      int              `json:"version"`
	Name         string           `json:"name"`
	Run          string           `json:"run"`
	Boot         string           `json:"boot"` // the run of the machine that identities and times are of
	Supervisor   process.Identity `json:"keeper"`
	Instance     process.Identity `json:"instance"` // zero before it was started
	StartedAt    Micros           `json:"began"`
	NotifiedStep string           `json:"told,omitempty"` // the notice taken
	NotifiedAt   Micros           `json:"told_at,omitempty"`
	Ended        bool             `json:"ended,omitempty"`
	End          fleet.Exit       `json:"end"`
}

// stateVersion is that of the file; a newer one is not touched.
const stateVersion = 1

// ErrNoState: nothing was ever written, or not to its end: no instance was started.
var ErrNoState = errors.New("no keeper has written its state")

// ReadState reads a keeper's state. A file from another run of the machine counts as ended.
func ReadState(path string) (s State, err error) {
	raw, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return s, ErrNoState
	}
	if err != nil {
		return s, err
	}
	if err := json.Unmarshal(raw, &s); err != nil {
		return s, fmt.Errorf("%s: %w", path, err)
	}
	if s.Version > stateVersion {
		return s, fmt.Errorf("%s: version %d, and this build knows %d", path, s.Version, stateVersion)
	}
	if s.Boot != process.Boot() {
		s.Ended, s.End, s.Instance, s.Supervisor = true, fleet.Exit{Unobserved: true}, process.Identity{}, process.Identity{}
	}
	return s, nil
}

// write replaces the file whole: whoever reads it sees the state before or after. It is not synced, as it has to
// outlive processes and not the machine, which ends them all.
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

// ErrLocked: another keeper has the instance.
var ErrLocked = errors.New("another keeper holds the instance")

// lock takes the instance for this process; the system lets go of it with the process.
func lock(path string) (*os.File, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		f.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			return nil, ErrLocked
		}
		return nil, err
	}
	return f, nil
}
