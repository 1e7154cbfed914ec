package supervisor

import (
	"context"
	"errors"
	"log/slog"
	"syscall"

	"milletbarrow/internal/process"
	"milletbarrow/monotime"
)

// actionTarget is what an action needs to know, copied so that it is performed without the lock.
type actionTarget struct {
	instance    process.Identity
	killCause   string          // empty: no kill was decided on
	sinceNotice monotime.Micros // time since the shutdown notice was taken
}

// actionTarget returns the target of actions that are decided on now, without the time of the notice. The caller
// holds s.mu.
func (s *supervisor) actionTarget() actionTarget {
	return actionTarget{instance: s.record.Instance, killCause: s.monitor.KillCause}
}

// perform performs one of the monitor's actions.
func (s *supervisor) perform(ctx context.Context, a Action, target actionTarget) {
	switch a {
	case SignalShutdown:
		s.logSignalError(target.instance.Signal(syscall.SIGTERM))
	case NotifySocket:
		go s.notifySocket(ctx, target.sinceNotice) // an unresponsive instance must not block the main loop
	case KillGroup:
		s.killGroup(target)
	}
}

// notifySocket gives the shutdown notice on the instance's admin socket.
func (s *supervisor) notifySocket(ctx context.Context, sinceNotice monotime.Micros) {
	ctx, cancel := context.WithTimeout(ctx, s.options.Bounds.IdlePollInterval)
	defer cancel()
	_ = s.instance.Drain(ctx, sinceNotice.Duration()) // the monitor repeats it until it is acknowledged
}

// killGroup kills the instance and its process group.
func (s *supervisor) killGroup(target actionTarget) {
	err := target.instance.KillGroup()
	slog.Warn("killed", "name", s.options.Name, "run", s.options.Incarnation, "cause", target.killCause,
		"after_ms", target.sinceNotice/monotime.Millisecond)
	s.logSignalError(err)
}

// logSignalError logs why the instance could not be signalled, unless it has exited.
func (s *supervisor) logSignalError(err error) {
	if err != nil && !errors.Is(err, process.ErrGone) {
		slog.Error("signal", "name", s.options.Name, "error", err.Error())
	}
}

// takeNotice takes the shutdown notice and writes it to the state file before the instance is notified. After an
// error, which is logged, the file lacks it; the instance is notified all the same.
func (s *supervisor) takeNotice(id string) error {
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
		slog.Error("state", "name", s.options.Name, "error", err.Error())
	}
	return err
}

// kill kills the instance at once.
func (s *supervisor) kill(cause string) {
	s.mu.Lock()
	s.monitor.RequestKill(cause)
	target := s.actionTarget()
	s.mu.Unlock()
	s.killGroup(target)
}
