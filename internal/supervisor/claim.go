package supervisor

import (
	"errors"
	"fmt"
	"os"

	"milletbarrow/internal/fleet"
	"milletbarrow/internal/process"
)

// claim checks by the state file whether the incarnation can be started or adopted, and records this process there as
// its supervisor. If the incarnation has already ended, claim sets s.record.Ended and writes nothing.
func (s *supervisor) claim() error {
	o := s.options
	self, err := process.Of(os.Getpid())
	if err != nil {
		return fmt.Errorf("identify this process: %w", err)
	}
	previous, err := ReadState(s.paths.State)
	if err != nil && !errors.Is(err, ErrNoState) {
		return err
	}
	sameIncarnation := previous.Incarnation == o.Incarnation && (previous.Ended || !previous.Instance.Zero())
	running := !previous.Ended && previous.Instance.Alive()
	switch {
	case sameIncarnation && running && !o.Adopt:
		return s.conflict(fmt.Sprintf("already runs as process %v without a supervisor: adopt it instead",
			previous.Instance))
	case sameIncarnation:
		s.record = previous
		s.monitor.NoticeID = previous.NoticeID
		s.monitor.NotifiedAt = previous.NotifiedAt
		s.monitor.Acknowledged = previous.Acknowledged
		if previous.Window != (fleet.ShutdownWindow{}) { // the configuration file may have changed since the launch
			s.monitor.Window = previous.Window
		}
	case o.Adopt:
		return s.conflict("the state file has no such incarnation to adopt")
	case running:
		return s.conflict(fmt.Sprintf("incarnation %s still runs as process %v",
			previous.Incarnation, previous.Instance))
	default:
		s.record = State{Name: o.Name, Incarnation: o.Incarnation, StartedAt: process.Now(), Window: o.Window}
	}
	if s.record.Ended {
		return nil
	}
	s.record.Supervisor = self
	return s.record.write(s.paths.State)
}

// conflict returns the error for a claim that the state file does not allow.
func (s *supervisor) conflict(reason string) error {
	return &StateConflictError{Name: s.options.Name, Incarnation: s.options.Incarnation, Reason: reason}
}
