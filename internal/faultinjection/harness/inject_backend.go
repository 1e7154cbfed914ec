package harness

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"milletbarrow/internal/faultinjection/schedule"
	"milletbarrow/internal/process"
)

// injectBackendFault injects a fault into a backend's processes, which its supervisor recorded.
func (harness *Harness) injectBackendFault(ctx context.Context, f schedule.Fault) error {
	h := harness.hosts[index(f.Target)%len(harness.hosts)]
	processes := harness.processesOf(h, f.Target)
	switch f.Kind {
	case schedule.StopBackend:
		if err := processes.Backend.Signal(syscall.SIGSTOP); err != nil {
			return err
		}
		pause(ctx, f.Duration)
		if err := processes.Backend.Signal(syscall.SIGCONT); !errors.Is(err, process.ErrGone) {
			return err
		}
	case schedule.KillBackend:
		return processes.Backend.Signal(syscall.SIGKILL)
	case schedule.KillSupervisor:
		return processes.Supervisor.Signal(syscall.SIGKILL)
	case schedule.BadStart:
		return harness.failBackendStart(ctx, f, processes.Backend)
	default: // kinds that do not concern a backend
	}
	return nil
}

// restartLimit is the time in which the restart of a backend must be accepted after a failed start.
const restartLimit time.Duration = time.Minute

// failBackendStart kills a backend whose configuration file is absent for the fault's duration, and restarts it.
func (harness *Harness) failBackendStart(ctx context.Context, f schedule.Fault, backend process.Identity) error {
	config := filepath.Join(harness.site.Dir, f.Target+".json")
	hidden := config + ".away"
	if err := os.Rename(config, hidden); err != nil {
		return err
	}
	killErr := backend.Signal(syscall.SIGKILL)
	pause(ctx, f.Duration)
	if err := os.Rename(hidden, config); err != nil {
		return err
	}
	// The agent may have given up, so the start is requested until it is accepted.
	startErr := harness.waitFor(ctx, restartLimit, "start of "+f.Target, func() bool {
		_, err := harness.Tool(ctx, "start", f.Target, "--quiet", "--wait=false", "--within", "30s")
		return err == nil
	})
	return errors.Join(killErr, startErr)
}
