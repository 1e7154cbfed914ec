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

// directoryVariable is an environment variable that holds the trial's directory. All processes of a trial inherit it,
// which identifies them: supervisors outlive their agent by design, so neither the process tree nor a process group
// contains all of them.
const directoryVariable = "MILLETBARROW_TRIAL_DIR"

const (
	killTimeout    = 10 * time.Second // for all of a trial's processes to end
	killInterval   = 20 * time.Millisecond
	environPattern = "/proc/[0-9]*/environ"
)

// Close ends every process of the trial and removes the trial's directory.
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

// killSupervised kills the supervisors and backends that supervisors recorded by process ID and start time.
func (harness *Harness) killSupervised() {
	for _, h := range harness.hosts {
		for _, name := range h.backends {
			id := harness.processesOf(h, name)
			_ = id.Supervisor.Signal(syscall.SIGKILL)
			_ = id.Backend.KillGroup()
		}
	}
}

// RemainingError reports processes that did not end after SIGKILL.
type RemainingError struct{ Processes []process.Identity }

// Error lists the processes.
func (e *RemainingError) Error() string {
	return fmt.Sprintf("%d processes still run after SIGKILL: %v", len(e.Processes), e.Processes)
}

// killRemaining kills all processes with the trial's directory in their environment until none is left. That includes
// supervisors and backends that were started just before their agent was killed, which are recorded nowhere. The error
// is a *RemainingError.
func killRemaining(dir string) error {
	for end := time.Now().Add(killTimeout); ; time.Sleep(killInterval) {
		remaining := processesWithEnvironment(directoryVariable + "=" + dir)
		if len(remaining) == 0 {
			return nil
		}
		if time.Now().After(end) {
			return &RemainingError{remaining}
		}
		for _, id := range remaining {
			_ = id.Signal(syscall.SIGKILL) // a process that has ended is not found again
		}
	}
}

// processesWithEnvironment returns this machine's processes whose environment contains the entry.
func processesWithEnvironment(entry string) (all []process.Identity) {
	files, _ := filepath.Glob(environPattern) // the pattern is a constant
	for _, file := range files {
		environment, err := os.ReadFile(file)
		if err != nil ||
			!slices.ContainsFunc(
				bytes.Split(environment, []byte{0}),
				func(e []byte) bool { return string(e) == entry },
			) {
			continue // the process has ended or belongs to another user
		}
		pid, _ := strconv.Atoi(filepath.Base(filepath.Dir(file))) // the pattern matches only digits in the first place
		if id, err := process.Of(pid); err == nil {
			all = append(all, id)
		}
	}
	return all
}

// watchdogScript waits for the end of its input, then kills all processes with an entry in their environment until none
// is left. It is a shell script because it has to outlive this process.
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

// watchdog is a process that ends the trial's processes if this process is killed, panics or exits without Close.
type watchdog struct {
	cmd   *exec.Cmd
	input io.Closer // closed by the kernel when this process ends
}

func startWatchdog(dir string) (*watchdog, error) {
	cmd := exec.Command("sh", "-c", watchdogScript, "sh", directoryVariable+"="+dir)
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} // so that it survives an interrupt from the terminal
	input, err := cmd.StdinPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("watchdog: %w", err)
	}
	return &watchdog{cmd, input}, nil
}

// stop closes the watchdog's input, which starts its last search for processes, and waits until it ends.
func (w *watchdog) stop() error {
	return errors.Join(w.input.Close(), w.cmd.Wait())
}
