package process

import (
	"errors"
	"os"
	"os/exec"
	"syscall"
	"testing"

	"milletbarrow/internal/fakes"
)

// startSleep starts a process that leads its own process group and runs for a minute unless it is killed.
func startSleep(t *testing.T) (*exec.Cmd, Identity) {
	t.Helper()
	cmd := exec.CommandContext(t.Context(), "sleep", "60")
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	id, err := Of(cmd.Process.Pid)
	if err != nil {
		t.Fatal(err)
	}
	return cmd, id
}

// TestSignalsReachIdentifiedProcessOnly checks that a running process gets signals, and that a process with a reused
// pid, a zombie, a process that has ended and the empty identity get none.
func TestSignalsReachIdentifiedProcessOnly(t *testing.T) {
	cmd, id := startSleep(t)
	if !id.Alive() || id.ResidentKB() == 0 {
		t.Fatalf("%v: alive %t, %d KB", id, id.Alive(), id.ResidentKB())
	}

	other := Identity{PID: id.PID, Start: id.Start + 1}
	if err := other.Signal(syscall.SIGKILL); !errors.Is(err, ErrGone) {
		t.Errorf("reused pid: %v, want ErrGone", err)
	}
	if err := other.KillGroup(); !errors.Is(err, ErrGone) || !id.Alive() {
		t.Errorf("reused group id: %v, alive %t, want ErrGone and alive", err, id.Alive())
	}

	if err := id.Signal(syscall.SIGSTOP); err != nil || !id.Alive() {
		t.Errorf("stopped: %v, alive %t", err, id.Alive())
	}
	if err := id.KillGroup(); err != nil {
		t.Error(err)
	}
	fakes.Until(t, "the process is a zombie", func() bool { return !id.Alive() }) // it has not been reaped
	if _, err := os.Stat("/proc/self"); err != nil {
		t.Fatal(err)
	}
	if err := id.Signal(syscall.SIGTERM); !errors.Is(err, ErrGone) {
		t.Errorf("zombie: %v, want ErrGone", err)
	}

	_ = cmd.Wait() // it was killed
	if _, err := Of(id.PID); !errors.Is(err, ErrGone) {
		t.Errorf("ended: %v, want ErrGone", err)
	}
	if err := (Identity{}).Signal(syscall.SIGKILL); !errors.Is(err, ErrGone) {
		t.Errorf("no process: %v, want ErrGone", err)
	}
}

// TestClockAdvances checks that the clock does not go back, and that the boot has an id.
func TestClockAdvances(t *testing.T) {
	if first, second := Now(), Now(); first <= 0 || second < first || Boot() == "" {
		t.Errorf("clock %d, then %d; boot %q", first, second, Boot())
	}
}
