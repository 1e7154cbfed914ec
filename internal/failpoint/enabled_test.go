//go:build failpoint

package failpoint

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
)

// TestCrashAt has a process of its own die at a point, once for the file that arms it.
func TestCrashAt(t *testing.T) {
	if os.Getenv("FAILPOINT_TEST_CHILD") != "" {
		CrashAt(AfterStored)
		return
	}
	dir := t.TempDir()
	armed := filepath.Join(dir, AfterStored)
	if err := os.WriteFile(armed, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	child := exec.Command(os.Args[0], "-test.run=TestCrashAt")
	child.Env = append(os.Environ(), "FAILPOINT_TEST_CHILD=1", CrashDirVariable+"="+dir)
	err := child.Run()
	exit, ok := errors.AsType[*exec.ExitError](err)
	if !ok || exit.Sys().(syscall.WaitStatus).Signal() != syscall.SIGKILL {
		t.Fatalf("the process ended with %v, wanted SIGKILL", err)
	}
	if _, err := os.Stat(armed); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("the point is armed still: %v", err)
	}
}
