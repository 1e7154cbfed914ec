package process

import (
	"errors"
	"os"
	"os/exec"
	"syscall"
	"testing"
)

// TestIdentity: a process that has ended, a zombie and a reused pid get no signal.
func TestIdentity(t *testing.T) {
	cmd := exec.Command("sleep", "60")
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	id, err := Of(cmd.Process.Pid)
	if err != nil || !id.Alive() || id.ResidentKB() == 0 {
		t.Fatalf("%v: %v, alive %t", id, err, id.Alive())
	}
	other := Identity{id.PID, id.Start + 1}
	if err := other.Signal(syscall.SIGKILL); !errors.Is(err, ErrGone) {
		t.Errorf("a reused pid: %v", err)
	}
	if err := other.KillGroup(); !errors.Is(err, ErrGone) || !id.Alive() {
		t.Errorf("a reused group id: %v", err)
	}
	if err := id.Signal(syscall.SIGSTOP); err != nil || !id.Alive() {
		t.Errorf("stopped: %v, alive %t", err, id.Alive())
	}
	if err := id.KillGroup(); err != nil {
		t.Error(err)
	}
	for id.Alive() { // it is a zombie soon: nobody has waited for it
	}
	if _, err := os.Stat("/proc/self"); err != nil {
		t.Fatal(err)
	}
	if err := id.Signal(syscall.SIGTERM); !errors.Is(err, ErrGone) {
		t.Errorf("a zombie: %v", err)
	}
	cmd.Wait()
	if _, err := Of(id.PID); !errors.Is(err, ErrGone) {
		t.Errorf("ended: %v", err)
	}
	if err := (Identity{}).Signal(syscall.SIGKILL); !errors.Is(err, ErrGone) {
		t.Errorf("none: %v", err)
	}
	if a, b := Now(), Now(); a <= 0 || b < a || Boot() == "" {
		t.Errorf("%d, %d, %q", a, b, Boot())
	}
}
