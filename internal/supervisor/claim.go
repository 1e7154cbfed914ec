package supervisor

import (
	"errors"
	"fmt"
	"os"

	"milletbarrow/internal/process"
)

// claim reads what another supervisor left, and records that this one is in charge.
func (s *supervisor) claim() error {
	o := s.options
	previous, err := ReadState(s.paths.State)
	self, errSelf := process.Of(os.Getpid())
	if errSelf != nil {
		return errSelf
	}
	conflict := func(reason string) error {
		return &StateConflictError{Name: o.Name, Incarnation: o.Incarnation, Reason: reason}
	}
	switch {
	case err != nil && !errors.Is(err, ErrNoState):
		return err
	case err == nil && previous.Incarnation == o.Incarnation && (previous.Ended || !previous.Instance.Zero()):
		if !previous.Ended && !o.Adopt && previous.Instance.Alive() {
			return conflict(fmt.Sprintf("goes on as %v without a supervisor; it has to be adopted", previous.Instance))
		}
		s.record = previous
		s.monitor.NoticeID, s.monitor.NotifiedAt = previous.NoticeID, previous.NotifiedAt
	case o.Adopt:
		return conflict("there is nothing to take over")
	case err == nil && !previous.Ended && previous.Instance.Alive():
		return conflict(fmt.Sprintf("run %s still goes on as %v", previous.Incarnation, previous.Instance))
	default:
		s.record = State{Name: o.Name, Incarnation: o.Incarnation, StartedAt: process.Now()}
	}
	if s.record.Ended {
		return nil
	}
	s.record.Supervisor = self
	return s.record.write(s.paths.State)
}
