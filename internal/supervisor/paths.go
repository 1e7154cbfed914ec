package supervisor

import (
	"os"
	"path/filepath"
)

// Paths are the files of one instance's supervisor.
type Paths struct {
	State  string // the supervisor's state file
	Socket string // the supervisor's socket
	Admin  string // the instance's admin socket
	Log    string // the instance's standard output and standard error
	Lock   string // held by the supervisor in charge
}

const (
	// supervisorDirectory is below the agent's directory. Other releases use the same name.
	supervisorDirectory = "keepers"
	// maxSocketPath is the longest path of a Unix socket, in bytes: the size of sun_path less its closing zero.
	maxSocketPath = 107
	// fileMode keeps files from others on the host.
	fileMode os.FileMode = 0o600
)

// PathsOf returns the paths of an instance's files under the agent's directory.
func PathsOf(dir, name string) Paths {
	file := func(suffix string) string { return filepath.Join(dir, supervisorDirectory, name+suffix) }
	return Paths{
		State:  file(".json"),
		Socket: file(".sock"),
		Admin:  file(".inspect"),
		Log:    file(".log"),
		Lock:   file(".lock"),
	}
}

// Check returns a *SocketPathError if the paths of the sockets are too long for the system.
func (p Paths) Check() error {
	if len(p.Admin) > maxSocketPath { // the longer one of the two
		return &SocketPathError{Path: p.Admin}
	}
	return nil
}
