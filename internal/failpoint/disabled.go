//go:build !failpoint

package failpoint

// Enabled reports whether the named fault is switched on; without the build tag it never is.
func Enabled(string) bool { return false }

// CrashAt ends this process if it was armed to crash at the named point; without the build tag it never does.
func CrashAt(string) {}
