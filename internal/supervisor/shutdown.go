package supervisor

import (
	"context"
	"errors"
	"log/slog"
	"syscall"
	"time"

	"milletbarrow/internal/process"
	"milletbarrow/monotime"
)

// perform does one action; sinceNotice is how long ago the notice was given.
func (s *supervisor) perform(a Action, instance process.Identity, killCause string, sinceNotice monotime.Micros) {
	var err error
	switch a {
	case SignalShutdown:
		err = instance.Signal(syscall.SIGTERM)
	case NotifySocket:
		go func() { // an unresponsive one does not answer, and the main loop must go on meanwhile
			ctx, cancel := context.WithTimeout(context.Background(), s.options.Bounds.IdlePollInterval)
			defer cancel()
			_ = s.instance.Drain(ctx, time.Duration(sinceNotice)*time.Microsecond) // repeated until it is acknowledged
		}()
	case KillGroup:
		err = instance.KillGroup()
		slog.Warn("killed", "name", s.options.Name, "run", s.options.Incarnation, "cause", killCause, "after_ms", sinceNotice/1000)
	}
	if err != nil && !errors.Is(err, process.ErrGone) {
		slog.Error("signal", "name", s.options.Name, "error", err.Error())
	}
}

// takeNotice takes the shutdown notice and writes it down, before the instance gets it. An error means that it could not
// be written down; the instance gets it all the same.
func (s *supervisor) takeNotice(step string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.monitor.RecordNotice(process.Now(), step) {
		return nil
	}
	s.record.NoticeID, s.record.NotifiedAt = step, s.monitor.NotifiedAt
	slog.Info("notified", "name", s.options.Name, "run", s.options.Incarnation, "step", step)
	err := s.writeRecord()
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return err
}

// writeRecord writes the state file and logs it if that fails; s.mu is held.
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
	actions := s.monitor.RequestKill(cause)
	instance, firstCause := s.record.Instance, s.monitor.KillCause
	s.mu.Unlock()
	for _, a := range actions {
		s.perform(a, instance, firstCause, 0)
	}
}
