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

// childVariable marks the process that is to crash, by its environment.
const childVariable = "FAILPOINT_TEST_CHILD"

// TestArmedCrashPointKillsProcessOnce checks that a child process dies by SIGKILL at an armed crash point, and that the
// crash disarms the point.
func TestArmedCrashPointKillsProcessOnce(t *testing.T) {
	if os.Getenv(childVariable) != "" {
		CrashAt(AfterStored)
		return
	}
	dir := t.TempDir()
	armed := filepath.Join(dir, AfterStored)
	if err := os.WriteFile(armed, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	child := exec.CommandContext(t.Context(), os.Args[0], "-test.run=^"+t.Name()+"$")
	child.Env = append(os.Environ(), childVariable+"=1", CrashDirVariable+"="+dir)
	err := child.Run()
	exit, ok := errors.AsType[*exec.ExitError](err)
	if !ok {
		t.Fatalf("the child ended with %v, want SIGKILL", err)
	}
	status, ok := exit.Sys().(syscall.WaitStatus)
	if !ok || status.Signal() != syscall.SIGKILL {
		t.Fatalf("the child ended with %v, want SIGKILL", err)
	}
	if _, err := os.Stat(armed); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("the crash point is still armed: %v", err)
	}
}
