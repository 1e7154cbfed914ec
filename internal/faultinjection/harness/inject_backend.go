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

// disturbBackend injects a fault into one backend's processes, by what its supervisor recorded.
func (harness *Harness) disturbBackend(ctx context.Context, f schedule.Fault) error {
	n := index(f.Target)
	h := harness.hosts[n%len(harness.hosts)]
	l := harness.processesOf(h, f.Target)
	config := filepath.Join(harness.site.Dir, f.Target+".json")
	switch f.Kind {
	case schedule.StopBackend:
		if err := l.Backend.Signal(syscall.SIGSTOP); err != nil {
			return err
		}
		pause(ctx, f.Duration)
		if err := l.Backend.Signal(syscall.SIGCONT); !errors.Is(err, process.ErrGone) {
			return err
		}
	case schedule.KillBackend:
		return l.Backend.Signal(syscall.SIGKILL)
	case schedule.KillSupervisor:
		return l.Supervisor.Signal(syscall.SIGKILL)
	case schedule.BadStart:
		if err := os.Rename(config, config+".away"); err != nil {
			return err
		}
		err := l.Backend.Signal(syscall.SIGKILL)
		pause(ctx, f.Duration)
		if errBack := os.Rename(config+".away", config); errBack != nil {
			return errBack
		}
		// Given up by its agent: an operator asks for it again, as often as it takes.
		errAgain := harness.waitFor(ctx, time.Minute, "start of "+f.Target, func() bool {
			_, err := harness.Tool(ctx, "start", f.Target, "--quiet", "--wait=false", "--within", "30s")
			return err == nil
		})
		return errors.Join(err, errAgain)
	}
	return nil
}
