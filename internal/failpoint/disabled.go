//go:build !failpoint

package failpoint

// Enabled reports whether the named fault is enabled. Without the build tag it never is.
func Enabled(string) bool { return false }

// CrashAt kills this process if the named crash point is armed. Without the build tag it does nothing.
func CrashAt(string) {}
