//go:build failpoint

package failpoint

import (
	"os"
	"path/filepath"
	"syscall"
)

// active is the name of the enabled fault, or empty. It does not change while the process runs.
var active = os.Getenv(FaultVariable)

// Enabled reports whether the named fault is enabled.
func Enabled(name string) bool { return active == name }

// CrashAt kills this process if the named crash point is armed, that is, if the directory of crash points has a file of
// that name. CrashAt removes the file before the crash, so that each file causes one crash.
func CrashAt(name string) {
	dir := os.Getenv(CrashDirVariable)
	if dir != "" && os.Remove(filepath.Join(dir, name)) == nil {
		_ = syscall.Kill(os.Getpid(), syscall.SIGKILL) // cannot fail: a process may signal itself
	}
}
