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

// endingVariable has the test binary run a harness's part that ends in the way named.
const endingVariable = "MILLETBARROW_TEST_ENDING"

// TestMain runs the process that TestWatchdog ends, where it is that process.
func TestMain(m *testing.M) {
	if ending := os.Getenv(endingVariable); ending != "" {
		endWith(ending)
	}
	os.Exit(m.Run())
}

// endWith starts a watchdog and processes as a trial does, prints their pids and ends in the way named, never by Close.
func endWith(ending string) {
	dir := os.Getenv("TMPDIR")
	if _, err := startWatchdog(dir); err != nil {
		fmt.Println(err)
		os.Exit(3)
	}
	fmt.Println(startSleep(dir), startSleep(dir))
	switch ending {
	case "kill":
		_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
	case "panic":
		go func() { panic("in another goroutine than the test's") }()
	case "exit":
		os.Exit(1)
	}
	time.Sleep(time.Minute)
}

// startSleep starts a process with a trial's directory in its environment, in a session of its own as a supervisor has; it is
// not waited for. Its pid; 0: it could not be started.
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

func identify(t *testing.T, pid int) process.Identity {
	t.Helper()
	id, err := process.Of(pid)
	if err != nil {
		t.Fatalf("pid %d: %v", pid, err)
	}
	t.Cleanup(func() { _ = id.Signal(syscall.SIGKILL) })
	return id
}

func awaitEnd(t *testing.T, id process.Identity) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); id.Alive(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%v runs on", id)
		}
	}
}

// TestWatchdog: what a trial began ends also where the process of the trial is killed, panics or exits.
func TestWatchdog(t *testing.T) {
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	other := identify(t, startSleep(t.TempDir())) // another trial's
	for _, ending := range []string{"kill", "panic", "exit"} {
		t.Run(ending, func(t *testing.T) {
			cmd := exec.Command(self)
			cmd.Env = append(os.Environ(), endingVariable+"="+ending, "TMPDIR="+t.TempDir())
			out, err := cmd.StdoutPipe()
			if err != nil {
				t.Fatal(err)
			}
			if err := cmd.Start(); err != nil {
				t.Fatal(err)
			}
			line, err := bufio.NewReader(out).ReadString('\n')
			if err != nil {
				t.Fatalf("%q, %v", line, err)
			}
			for _, word := range strings.Fields(line) {
				pid, err := strconv.Atoi(word)
				if err != nil || pid == 0 {
					t.Fatalf("%q are no processes", line)
				}
				if id, err := process.Of(pid); err == nil { // else it has been ended already
					defer func() { _ = id.Signal(syscall.SIGKILL) }()
					awaitEnd(t, id)
				}
			}
			if err := cmd.Wait(); err == nil {
				t.Error("it ended by itself")
			}
		})
	}
	if !other.Alive() {
		t.Error("another trial's process was ended too")
	}
}

// TestKillRemaining: what is recorded nowhere is found by its environment and ended, and nothing else.
func TestKillRemaining(t *testing.T) {
	dir := t.TempDir()
	own, other, longer := identify(t, startSleep(dir)), identify(t, startSleep(t.TempDir())), identify(t, startSleep(dir+"1"))
	if err := own.Signal(syscall.SIGSTOP); err != nil { // one that a fault has stopped
		t.Fatal(err)
	}
	if err := killRemaining(dir); err != nil {
		t.Error(err)
	}
	if own.Alive() || !other.Alive() || !longer.Alive() {
		t.Errorf("alive: its own %v, another trial's %v and %v", own.Alive(), other.Alive(), longer.Alive())
	}
}

// TestOpenFails: where a trial cannot be laid out, the error says so and nothing is left.
func TestOpenFails(t *testing.T) {
	dir := t.TempDir()
	t.Setenv("TMPDIR", dir)
	t.Setenv("PATH", "") // there is no shell for the watchdog
	_, err := Open(Options{Program: "none", Schedule: &schedule.Schedule{Name: "none", Hosts: 1, Backends: 1, Span: time.Second}})
	if !errors.Is(err, exec.ErrNotFound) {
		t.Errorf("%v, wanted %v", err, exec.ErrNotFound)
	}
	if left, _ := filepath.Glob(filepath.Join(dir, "*")); len(left) > 0 {
		t.Errorf("left behind: %v", left)
	}
}

// TestCloseEndsUnrecorded: Close ends a process that was begun as its agent was killed.
func TestCloseEndsUnrecorded(t *testing.T) {
	harness, err := Open(Options{Program: "none", Schedule: &schedule.Schedule{Name: "none", Hosts: 1, Backends: 1, Span: time.Second}})
	if err != nil {
		t.Fatal(err)
	}
	id := identify(t, startSleep(harness.site.Dir))
	if err := harness.Close(); err != nil {
		t.Error(err)
	}
	if id.Alive() {
		t.Error("it runs on")
	}
	if _, err := os.Stat(harness.site.Dir); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("its directory: %v", err)
	}
}
