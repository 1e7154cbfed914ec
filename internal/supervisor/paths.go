package supervisor

import (
	"path/filepath"
)

// Paths are the files of one instance's supervisor.
type Paths struct {
	State  string // what the supervisor writes down
	Socket string // the supervisor's own
	Admin  string // the instance's admin socket
	Log    string // what the instance prints
	Lock   string // held by the supervisor in charge
}

// maxSocketPath is how many bytes the system allows a Unix socket's path, less the zero at its end.
const maxSocketPath = 107

// PathsOf names the files of an instance under the agent's directory.
func PathsOf(dir, name string) Paths {
	file := func(suffix string) string { return filepath.Join(dir, "keepers", name+suffix) }
	return Paths{
		State: file(".json"), Socket: file(".sock"), Admin: file(".inspect"), Log: file(".log"), Lock: file(".lock"),
	}
}

// Check returns a *SocketPathError for a directory whose sockets can't be opened, as their paths are too long.
func (p Paths) Check() error {
	if len(p.Admin) > maxSocketPath {
		return &SocketPathError{p.Admin}
	}
	return nil
}
