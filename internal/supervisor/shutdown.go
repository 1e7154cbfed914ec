package supervisor

import (
	"context"
	"errors"
	"log/slog"
	"syscall"

	"milletbarrow/internal/fleet"
	"milletbarrow/internal/process"
	"milletbarrow/monotime"
)

// actionTarget has the parameters of an action, copied so that it can be performed without holding the lock.
type actionTarget struct {
	instance      process.Identity
	killCause     string               // empty: no kill
	shutdownStart monotime.Micros      // by a notice or by the instance itself; 0: it has not begun
	window        fleet.ShutdownWindow // by which the monitor decides
}

// actionTarget returns the target of actions that are performed now. The caller holds s.mu.
func (s *supervisor) actionTarget() actionTarget {
	return actionTarget{
		instance:      s.record.Instance,
		killCause:     s.monitor.KillCause,
		shutdownStart: s.monitor.shutdownStart(),
		window:        s.monitor.Window,
	}
}

// perform performs one of the monitor's actions.
func (s *supervisor) perform(ctx context.Context, a Action, target actionTarget) {
	switch a {
	case SignalShutdown:
		s.logSignalError(target.instance.Signal(syscall.SIGTERM))
	case NotifySocket:
		go s.notifySocket(ctx, target.shutdownStart) // an unresponsive instance must not block the main loop
	case KillGroup:
		s.killGroup(target)
	}
}

// notifySocket sends the shutdown notice to the instance's admin socket.
func (s *supervisor) notifySocket(ctx context.Context, notifiedAt monotime.Micros) {
	ctx, cancel := context.WithTimeout(ctx, s.options.Bounds.IdlePollInterval)
	defer cancel()
	_ = s.instance.Drain(ctx, notifiedAt) // the monitor repeats the notice until it is acknowledged
}

// killGroup kills the instance and its process group.
func (s *supervisor) killGroup(target actionTarget) {
	err := target.instance.KillGroup()
	after := monotime.Micros(0)
	if target.shutdownStart != 0 {
		after = process.Now() - target.shutdownStart
	}
	slog.Warn("killed", "name", s.options.Name, "run", s.options.Incarnation, "cause", target.killCause,
		"after_ms", after/monotime.Millisecond, "grace_ms", target.window.Grace/monotime.Millisecond,
		"stop_ms", target.window.ExitTimeout/monotime.Millisecond)
	s.logSignalError(err)
}

// logSignalError logs why a signal could not be sent, unless the reason is that the instance has exited.
func (s *supervisor) logSignalError(err error) {
	if err != nil && !errors.Is(err, process.ErrGone) {
		slog.Error("cannot signal the instance", "name", s.options.Name, "error", err.Error())
	}
}

// acceptNotice records the shutdown notice in the state file before the instance is notified, so that a supervisor that
// takes over counts from the same notice. If the write fails, the error is logged, and the instance is notified all
// the same.
func (s *supervisor) acceptNotice(id string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.monitor.RecordNotice(process.Now(), id) {
		return nil
	}
	s.record.NoticeID = id
	s.record.NotifiedAt = s.monitor.NotifiedAt
	slog.Info("notified", "name", s.options.Name, "run", s.options.Incarnation, "step", id)
	err := s.writeRecord()
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return err
}

// writeRecord writes the state file and logs an error. The caller holds s.mu.
func (s *supervisor) writeRecord() error {
	err := s.record.write(s.paths.State)
	if err != nil {
		slog.Error("cannot write the supervisor state file", "name", s.options.Name, "error", err.Error())
	}
	return err
}

// kill kills the instance at once, without waiting for the main loop.
func (s *supervisor) kill(cause string) {
	s.mu.Lock()
	s.monitor.RequestKill(cause)
	target := s.actionTarget()
	s.mu.Unlock()
	s.killGroup(target)
}
