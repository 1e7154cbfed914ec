package supervisor

import (
	"testing"

	"milletbarrow/internal/fleet"
)

// TestExitOfKilledInstance holds that an instance that was killed has no exit code of its own, and that the state file
// has the cause.
func TestExitOfKilledInstance(t *testing.T) {
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
