package supervisor

import (
	"testing"

	"milletbarrow/internal/fleet"
)

// TestKilledInstanceIsRecordedWithCause checks that the exit of a killed instance is recorded with exit code -1 and
// with the cause of the kill.
func TestKilledInstanceIsRecordedWithCause(t *testing.T) {
	s := newClaimedSupervisor(t)
	s.kill("test")
	s.recordExit(fleet.Exit{Unobserved: true})
	written, err := ReadState(s.paths.State)
	if err != nil || !written.Ended {
		t.Fatalf("written %+v, %v", written, err)
	}
	if end := written.End; end.KillReason != "test" || end.Code != -1 || end.Unobserved {
		t.Errorf("written end %+v", end)
	}
}
