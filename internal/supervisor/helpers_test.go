package supervisor

import (
	"os"
	"path/filepath"
	"testing"

	"milletbarrow/internal/backend/admin"
	"milletbarrow/internal/fleet"
	"milletbarrow/internal/limits"
	"milletbarrow/internal/process"
	"milletbarrow/monotime"
)

const (
	second      = monotime.Second
	millisecond = monotime.Millisecond
)

// testWindow is the shutdown window in tests.
var testWindow = fleet.ShutdownWindow{Grace: 2 * second, ExitTimeout: 3200 * millisecond}

// newTestSupervisor returns a supervisor for incarnation "r2" of instance "n1". The state file has previous as its
// content; nil: there is no state file.
func newTestSupervisor(t *testing.T, previous *State, adopt bool) *supervisor {
	t.Helper()
	dir := t.TempDir()
	if err := os.Mkdir(filepath.Join(dir, supervisorDirectory), 0o700); err != nil {
		t.Fatal(err)
	}
	s := newSupervisor(Options{
		Dir: dir, Name: "n1", Incarnation: "r2", Adopt: adopt, Window: testWindow, Bounds: limits.ForControl(),
	})
	if previous != nil {
		if err := previous.write(s.paths.State); err != nil {
			t.Fatal(err)
		}
	}
	return s
}

// newClaimedSupervisor returns a supervisor that has claimed its instance.
func newClaimedSupervisor(t *testing.T) *supervisor {
	t.Helper()
	s := newTestSupervisor(t, nil, false)
	if err := s.claim(); err != nil {
		t.Fatal(err)
	}
	return s
}

// self returns the identity of the test process.
func self(t *testing.T) process.Identity {
	t.Helper()
	id, err := process.Of(os.Getpid())
	if err != nil {
		t.Fatal(err)
	}
	return id
}

// ready returns the observation of a ready instance.
func ready() Observation { return Observation{State: &admin.State{Ready: true}} }

// draining returns the observation of an instance that drains.
func draining(graceEnds monotime.Micros) Observation {
	return Observation{State: &admin.State{Draining: true, GraceEnds: graceEnds}}
}
