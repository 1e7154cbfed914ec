package harness

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"syscall"
	"time"

	"milletbarrow/internal/process"
)

// directoryVariable names, in the environment of every process that a trial began and that those began, the trial's
// directory. Supervisors outlive their agent by design, so that neither the tree of processes nor a group holds all
// of them.
const directoryVariable = "MILLETBARROW_TRIAL_DIR"

const (
	maxKilling    = 10 * time.Second // until all of a trial's processes have ended
	killingPause  = 20 * time.Millisecond
	environLayout = "/proc/[0-9]*/environ"
)

// Close ends every process that the trial began, and removes its directory.
func (harness *Harness) Close() error {
	for _, h := range harness.hosts {
		h.mu.Lock()
		if h.cmd != nil {
			_ = h.cmd.Process.Signal(syscall.SIGCONT)
			h.killAgent()
		}
		h.mu.Unlock()
	}
	harness.killSupervised()
	err := killRemaining(harness.site.Dir)
	if harness.watchdog != nil {
		err = errors.Join(err, harness.watchdog.stop())
	}
	if harness.mesh != nil {
		harness.mesh.Close()
	}
	if harness.registry != nil {
		_ = harness.registry.Close()
	}
	return errors.Join(err, harness.site.Close())
}

// killSupervised ends supervisors and backends by what supervisors wrote down of them: both are known by pid and start.
func (harness *Harness) killSupervised() {
	for _, h := range harness.hosts {
		for _, name := range h.backends {
			id := harness.processesOf(h, name)
			_ = id.Supervisor.Signal(syscall.SIGKILL)
			_ = id.Backend.KillGroup()
		}
	}
}

// RemainingError is processes that have not ended though they were killed.
type RemainingError struct{ Processes []process.Identity }

func (e *RemainingError) Error() string {
	return fmt.Sprintf("%d processes remain: %v", len(e.Processes), e.Processes)
}

// killRemaining kills what runs with the trial's directory in its environment, until nothing does: also a supervisor
// or a backend that was begun as its agent was killed and is recorded nowhere. The error is a *RemainingError.
func killRemaining(dir string) error {
	for end := time.Now().Add(maxKilling); ; time.Sleep(killingPause) {
		remaining := processesWith(directoryVariable + "=" + dir)
		if len(remaining) == 0 {
			return nil
		}
		if time.Now().After(end) {
			return &RemainingError{remaining}
		}
		for _, id := range remaining {
			_ = id.Signal(syscall.SIGKILL) // one that is gone is not found again
		}
	}
}

// processesWith are the processes of this machine whose environment has an entry.
func processesWith(entry string) (all []process.Identity) {
	files, _ := filepath.Glob(environLayout) // the pattern is a constant
	for _, file := range files {
		environment, err := os.ReadFile(file)
		if err != nil ||
			!slices.ContainsFunc(
				bytes.Split(environment, []byte{0}),
				func(e []byte) bool { return string(e) == entry },
			) {
			continue // it has ended, or is another user's
		}
		pid, _ := strconv.Atoi(filepath.Base(filepath.Dir(file))) // the pattern has a number there
		if id, err := process.Of(pid); err == nil {
			all = append(all, id)
		}
	}
	return all
}

// watchdogScript waits for the end of its input and kills all processes with an entry in their environment, until
// none is left. It is a shell's, since what it has to outlive is this process.
const watchdogScript = `cat > /dev/null
for round in $(seq 100); do
	found=
	for environ in /proc/[0-9]*/environ; do
		if grep -qzxF -e "$1" "$environ" 2> /dev/null; then
			pid=${environ#/proc/}
			kill -KILL "${pid%/environ}" 2> /dev/null
			found=yes
		fi
	done
	[ "$found" ] || exit 0
	sleep 0.1
done`

// watchdog is a process that ends the trial's processes when this one is killed, panics or exits without Close.
type watchdog struct {
	cmd   *exec.Cmd
	input io.Closer // open as long as this process lives
}

func startWatchdog(dir string) (*watchdog, error) {
	cmd := exec.Command("sh", "-c", watchdogScript, "sh", directoryVariable+"="+dir)
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} // an interrupt from the terminal is not for it
	input, err := cmd.StdinPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("watchdog: %w", err)
	}
	return &watchdog{cmd, input}, nil
}

// stop lets it look for the last time and waits for its end.
func (w *watchdog) stop() error {
	return errors.Join(w.input.Close(), w.cmd.Wait())
}
