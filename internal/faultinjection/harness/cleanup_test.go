package harness

import (
	"bufio"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"milletbarrow/internal/faultinjection/schedule"
	"milletbarrow/internal/process"
)

// exitModeVariable makes the test binary run as a trial's process that ends in the given way.
const exitModeVariable = "MILLETBARROW_TEST_ENDING"

// TestMain runs the tests or, with exitModeVariable set, the process that TestWatchdogEndsProcesses starts.
func TestMain(m *testing.M) {
	if mode := os.Getenv(exitModeVariable); mode != "" {
		runAndExit(mode)
	}
	os.Exit(m.Run())
}

// runAndExit starts a watchdog and two processes as a trial does, prints the process IDs and ends in the given way
// without a call of Close.
func runAndExit(mode string) {
	dir := os.Getenv("TMPDIR")
	if _, err := startWatchdog(dir); err != nil {
		fmt.Println(err)
		os.Exit(3)
	}
	fmt.Println(startSleep(dir), startSleep(dir))
	switch mode {
	case "kill":
		_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
	case "panic":
		go func() { panic("panic in a goroutine of the trial") }()
	case "exit":
		os.Exit(1)
	}
	time.Sleep(time.Minute)
}

// startSleep starts a process with a trial's directory in its environment, in its own session like a supervisor. It
// returns the process ID without waiting for the process's end, or 0 if the start failed.
func startSleep(dir string) int {
	cmd := exec.Command("sleep", "60")
	cmd.Env = append(os.Environ(), directoryVariable+"="+dir)
	cmd.SysProcAttr = &syscall.SysProcAttr{Setsid: true}
	if err := cmd.Start(); err != nil {
		return 0
	}
	go func() { _ = cmd.Wait() }()
	return cmd.Process.Pid
}

// smallSchedule returns a schedule of one host and one backend without faults.
func smallSchedule() *schedule.Schedule {
	return &schedule.Schedule{Name: "none", Hosts: 1, Backends: 1, Span: time.Second}
}

// identify returns the identity of a process, which is killed at the end of the test.
func identify(t *testing.T, pid int) process.Identity {
	t.Helper()
	id, err := process.Of(pid)
	if err != nil {
		t.Fatalf("pid %d: %v", pid, err)
	}
	t.Cleanup(func() { _ = id.Signal(syscall.SIGKILL) })
	return id
}

// waitForExit waits until a process has ended.
func waitForExit(t *testing.T, id process.Identity) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); id.Alive(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%v still runs after 30 s", id)
		}
	}
}

// TestWatchdogEndsProcesses verifies that a trial's processes end if the process that runs the trial is killed, panics
// or exits.
func TestWatchdogEndsProcesses(t *testing.T) {
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	other := identify(t, startSleep(t.TempDir())) // a process of another trial
	for _, mode := range []string{"kill", "panic", "exit"} {
		t.Run(mode, func(t *testing.T) {
			cmd := exec.Command(self)
			cmd.Env = append(os.Environ(), exitModeVariable+"="+mode, "TMPDIR="+t.TempDir())
			out, err := cmd.StdoutPipe()
			if err != nil {
				t.Fatal(err)
			}
			if err := cmd.Start(); err != nil {
				t.Fatal(err)
			}
			line, err := bufio.NewReader(out).ReadString('\n')
			if err != nil {
				t.Fatalf("first line %q: %v", line, err)
			}
			for _, word := range strings.Fields(line) {
				pid, err := strconv.Atoi(word)
				if err != nil || pid == 0 {
					t.Fatalf("got %q, want two process IDs", line)
				}
				if id, err := process.Of(pid); err == nil { // otherwise it has ended already
					defer func() { _ = id.Signal(syscall.SIGKILL) }()
					waitForExit(t, id)
				}
			}
			if err := cmd.Wait(); err == nil {
				t.Error("the process exited with code 0, want a failure")
			}
		})
	}
	if !other.Alive() {
		t.Error("the process of another trial was ended")
	}
}

// TestKillRemainingFindsProcessesByEnvironment verifies that processes with the trial's directory in their environment
// end although no file records them, and that processes of other trials stay, even if the directory is a prefix of
// theirs.
func TestKillRemainingFindsProcessesByEnvironment(t *testing.T) {
	dir := t.TempDir()
	own := identify(t, startSleep(dir))
	other := identify(t, startSleep(t.TempDir()))
	longer := identify(t, startSleep(dir+"1"))
	if err := own.Signal(syscall.SIGSTOP); err != nil { // as a fault may have stopped it
		t.Fatal(err)
	}
	if err := killRemaining(dir); err != nil {
		t.Error(err)
	}
	if own.Alive() || !other.Alive() || !longer.Alive() {
		t.Errorf(
			"own process alive: %t, want false; processes of other trials alive: %t and %t, want true",
			own.Alive(),
			other.Alive(),
			longer.Alive(),
		)
	}
}

// TestOpenFailureLeavesNoFiles verifies that Open returns the cause and removes its files if the watchdog cannot start.
func TestOpenFailureLeavesNoFiles(t *testing.T) {
	dir := t.TempDir()
	t.Setenv("TMPDIR", dir)
	t.Setenv("PATH", "") // there is no shell for the watchdog
	_, err := Open(Options{Program: "none", Schedule: smallSchedule()})
	if !errors.Is(err, exec.ErrNotFound) {
		t.Errorf("got error %v, want %v", err, exec.ErrNotFound)
	}
	if left, _ := filepath.Glob(filepath.Join(dir, "*")); len(left) > 0 {
		t.Errorf("files not removed: %v", left)
	}
}

// TestCloseEndsUnrecordedProcesses verifies that Close ends a process that no file records, as it was started just
// before its agent was killed.
func TestCloseEndsUnrecordedProcesses(t *testing.T) {
	harness, err := Open(Options{Program: "none", Schedule: smallSchedule()})
	if err != nil {
		t.Fatal(err)
	}
	id := identify(t, startSleep(harness.site.Dir))
	if err := harness.Close(); err != nil {
		t.Error(err)
	}
	if id.Alive() {
		t.Error("the process still runs after Close")
	}
	if _, err := os.Stat(harness.site.Dir); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("trial directory after Close: %v, want %v", err, os.ErrNotExist)
	}
}
