package supervisor

import (
	"os"
	"path/filepath"
)

// Paths are the paths of the files of one instance and its supervisor.
type Paths struct {
	State  string // the supervisor's state file
	Socket string // the supervisor's socket
	Admin  string // the instance's admin socket
	Log    string // the instance's standard output and standard error
	Lock   string // locked by the running supervisor
}

const (
	// supervisorDirectory is a subdirectory of the agent's directory. Other releases use the same name.
	supervisorDirectory = "keepers"
	// maxSocketPath is the maximum length of a Unix socket path in bytes: the size of sun_path less its terminating
	// zero.
	maxSocketPath = 107
	// fileMode keeps other users of the host from reading the files.
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
	if len(p.Admin) > maxSocketPath { // the longer of the two socket paths
		return &SocketPathError{Path: p.Admin}
	}
	return nil
}
