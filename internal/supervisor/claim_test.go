package supervisor

import (
	"errors"
	"path/filepath"
	"testing"

	"milletbarrow/internal/backend/admin"
	"milletbarrow/internal/fleet"
	"milletbarrow/internal/process"
)

// TestClaimAllowsOneRunningIncarnation checks that no incarnation is started while another one runs, that an
// incarnation that the state file does not have is not adopted, and that one that has ended is not started again.
func TestClaimAllowsOneRunningIncarnation(t *testing.T) {
	alive := self(t)
	gone := process.Identity{PID: alive.PID, Start: alive.Start + 1}
	for _, test := range []struct {
		name     string
		previous *State // nil: no state file
		adopt    bool
		conflict bool
		ended    bool
		instance process.Identity // in the record after the claim
	}{
		{
			name: "no state file",
		},
		{
			name:     "no state file, to adopt",
			adopt:    true,
			conflict: true,
		},
		{
			name:     "another incarnation, to adopt",
			previous: &State{Name: "n1", Incarnation: "r1", Instance: alive},
			adopt:    true,
			conflict: true,
		},
		{
			name:     "another incarnation runs",
			previous: &State{Name: "n1", Incarnation: "r1", Instance: alive},
			conflict: true,
		},
		{
			name:     "process of another incarnation is gone",
			previous: &State{Name: "n1", Incarnation: "r1", Instance: gone},
		},
		{
			name:     "another incarnation has ended",
			previous: &State{Name: "n1", Incarnation: "r1", Instance: alive, Ended: true},
		},
		{
			name:     "already running without a supervisor",
			previous: &State{Name: "n1", Incarnation: "r2", Instance: alive},
			conflict: true,
		},
		{
			name:     "running, to adopt",
			previous: &State{Name: "n1", Incarnation: "r2", Instance: alive},
			adopt:    true,
			instance: alive,
		},
		{
			name:     "already ended",
			previous: &State{Name: "n1", Incarnation: "r2", Instance: alive, Ended: true},
			ended:    true,
			instance: alive,
		},
		{
			name:     "claimed but never started",
			previous: &State{Name: "n1", Incarnation: "r2"},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newTestSupervisor(t, test.previous, test.adopt)
			err := s.claim()
			conflict, found := errors.AsType[*StateConflictError](err)
			if found != test.conflict || err != nil && !test.conflict {
				t.Fatalf("claim: %v", err)
			}
			if test.conflict {
				if conflict.Name != "n1" || conflict.Incarnation != "r2" {
					t.Errorf("conflict of %+v", conflict)
				}
				return
			}
			if s.record.Incarnation != "r2" || s.record.Ended != test.ended || s.record.Instance != test.instance {
				t.Errorf("record %+v", s.record)
			}
			written, err := ReadState(s.paths.State)
			if err != nil || !test.ended && written.Supervisor != self(t) {
				t.Errorf("written: %+v, %v", written, err)
			}
		})
	}
}

// TestAdoptionKeepsRecordedNotice checks that a supervisor that adopts an instance counts from the notice that the
// previous supervisor recorded.
func TestAdoptionKeepsRecordedNotice(t *testing.T) {
	previous := &State{
		Name: "n1", Incarnation: "r2", Instance: self(t), NoticeID: "s1", NotifiedAt: 5 * second, Acknowledged: true,
	}
	s := newTestSupervisor(t, previous, true)
	if err := s.claim(); err != nil {
		t.Fatal(err)
	}
	if s.monitor.NoticeID != "s1" || s.monitor.NotifiedAt != 5*second {
		t.Errorf("notified by %q at %d", s.monitor.NoticeID, s.monitor.NotifiedAt)
	}
	if !s.monitor.Acknowledged {
		t.Error("the notice counts as not acknowledged")
	}
	if s.monitor.RecordNotice(6*second, "s2") {
		t.Error("a second notice was recorded as the first")
	}
}

// TestAdoptionKeepsWindowOfLaunch guards against judging an adopted instance by a configuration file that was replaced
// after its launch. Only for an incarnation whose window was not recorded does that of the options count.
func TestAdoptionKeepsWindowOfLaunch(t *testing.T) {
	launched := fleet.ShutdownWindow{Grace: testWindow.Grace + second, ExitTimeout: testWindow.ExitTimeout + second}
	for _, test := range []struct {
		name     string
		recorded fleet.ShutdownWindow
		want     fleet.ShutdownWindow
	}{
		{"recorded", launched, launched},
		{"not recorded", fleet.ShutdownWindow{}, testWindow},
	} {
		t.Run(test.name, func(t *testing.T) {
			previous := &State{Name: "n1", Incarnation: "r2", Instance: self(t), Window: test.recorded}
			s := newTestSupervisor(t, previous, true)
			if err := s.claim(); err != nil {
				t.Fatal(err)
			}
			if s.monitor.Window != test.want {
				t.Errorf("monitor's window %+v, want %+v", s.monitor.Window, test.want)
			}
			if written, err := ReadState(s.paths.State); err != nil || written.Window != test.recorded {
				t.Errorf("recorded window %+v, %v, want %+v", written.Window, err, test.recorded)
			}
		})
	}
}

// TestReportedWindowIsRecorded checks that the window that the instance reports is written to the state file, for the
// next supervisor.
func TestReportedWindowIsRecorded(t *testing.T) {
	s := newClaimedSupervisor(t)
	if s.record.Window != testWindow {
		t.Fatalf("window at the launch %+v, want %+v", s.record.Window, testWindow)
	}
	reported := fleet.ShutdownWindow{Grace: testWindow.Grace + second, ExitTimeout: testWindow.ExitTimeout + second}
	s.observe(Observation{State: &admin.State{Grace: reported.Grace, ExitTimeout: reported.ExitTimeout}})
	if written, err := ReadState(s.paths.State); err != nil || written.Window != reported {
		t.Errorf("recorded window %+v, %v, want %+v", written.Window, err, reported)
	}
}

// TestAcknowledgementIsRecorded checks that the acknowledgement of a notice is written to the state file, for the next
// supervisor.
func TestAcknowledgementIsRecorded(t *testing.T) {
	s := newClaimedSupervisor(t)
	if err := s.acceptNotice("s1"); err != nil {
		t.Fatal(err)
	}
	s.observe(ready())
	if s.record.Acknowledged {
		t.Error("acknowledged by an instance that serves")
	}
	s.observe(draining(s.record.NotifiedAt + testWindow.Grace))
	if written, err := ReadState(s.paths.State); err != nil || !written.Acknowledged {
		t.Errorf("acknowledgement written: %t, %v", written.Acknowledged, err)
	}
}

// TestLockIsExclusive checks that only one supervisor at a time holds the lock, and that another one can acquire it
// after its release.
func TestLockIsExclusive(t *testing.T) {
	path := filepath.Join(t.TempDir(), "n1.lock")
	first, err := lock(path)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := lock(path); !errors.Is(err, ErrLocked) {
		t.Errorf("second lock: %v, want ErrLocked", err)
	}
	if err := first.Close(); err != nil {
		t.Fatal(err)
	}
	again, err := lock(path)
	if err != nil {
		t.Fatal(err)
	}
	again.Close()
}
