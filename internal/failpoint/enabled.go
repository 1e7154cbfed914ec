//go:build failpoint

package failpoint

import (
	"os"
	"path/filepath"
	"syscall"
)

// active is the one fault of this process; read once, so that a fault lasts for as long as the process.
var active = os.Getenv(FaultVariable)

// Enabled reports whether the named fault is switched on.
func Enabled(name string) bool { return active == name }

// CrashAt kills this process if a file of that name lies in the directory of crash points. The file is removed first,
// so that each file stands for one crash.
func CrashAt(name string) {
	dir := os.Getenv(CrashDirVariable)
	if dir != "" && os.Remove(filepath.Join(dir, name)) == nil {
		_ = syscall.Kill(os.Getpid(), syscall.SIGKILL) // to a process of its own this can't fail
	}
}
