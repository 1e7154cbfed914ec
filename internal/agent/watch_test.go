package agent

import (
	"testing"

	"milletbarrow/internal/fleet"
	"milletbarrow/internal/process"
	"milletbarrow/internal/supervisor"
)

// TestUnrecordedExitIsIgnoredDuringLaunch checks that while a launch is in progress, an exit of the incarnation is
// ignored unless a supervisor has recorded it.
func TestUnrecordedExitIsIgnoredDuringLaunch(t *testing.T) {
	a := mustNewIdleAgent(t, &memoryStore{})
	launchByCommand(t, a)
	a.handle(process.Now(), fleet.Tick{})
	launched, _ := a.loop.machine.Instance("a")
	if !launched.ActionPending || launched.LastAction != fleet.ActionLaunch {
		t.Fatalf("not launched: %+v", launched)
	}
	exited := fleet.Observation{
		Incarnation: launched.Incarnation,
		Phase:       fleet.PhaseExited,
		Exit:        fleet.Exit{Unobserved: true},
	}
	for _, recorded := range []bool{false, true} {
		observed := fleet.InstanceObserved{Name: "a", Observation: exited, Unrecorded: !recorded}
		a.postObservation(t.Context(), observed, nil)
		(<-a.calls)(process.Now())
		if in, _ := a.loop.machine.Instance("a"); (in.Incarnation == "") != recorded {
			t.Errorf("recorded %t: %+v", recorded, in)
		}
	}
}

// TestStatusShowsLatestReport checks that the status shows the PIDs of the latest report on the running incarnation,
// and none while the supervisor is silent, after the exit, or between a reload and the next report.
func TestStatusShowsLatestReport(t *testing.T) {
	a := mustNewIdleAgent(t, &memoryStore{})
	incarnation := launchByCommand(t, a).Incarnation
	observe := func(o fleet.Observation, report *supervisor.Report) {
		t.Helper()
		a.postObservation(t.Context(), fleet.InstanceObserved{Name: "a", Observation: o}, report)
		(<-a.calls)(process.Now())
	}
	report := func(incarnation string, phase fleet.Phase, pid int) {
		t.Helper()
		o := fleet.Observation{Incarnation: incarnation, Phase: phase}
		observe(o, &supervisor.Report{Observation: o, Record: supervisor.State{
			Instance:   process.Identity{PID: pid},
			Supervisor: process.Identity{PID: pid + 1},
		}})
	}
	const noPID = 0
	want := func(event string, pid int) {
		t.Helper()
		got := statusOf(a)
		if got.Name != "a" || got.PID != pid || pid != noPID && got.SupervisorPID != pid+1 {
			t.Errorf("%s: %+v, want pid %d", event, got, pid)
		}
	}

	report(incarnation, fleet.PhaseReady, 40)
	want("first report", 40)
	report(incarnation, fleet.PhaseReady, 50)
	want("later report", 50)
	report("a.0", fleet.PhaseReady, 60)
	want("report on another incarnation", 50)
	observe(fleet.Observation{Incarnation: incarnation, Phase: fleet.PhaseUnknown}, nil)
	want("supervisor silent", noPID)
	report(incarnation, fleet.PhaseReady, 70)
	want("report after the silence", 70)
	if err := reloadIdleAgent(t, a, a.loop.spec); err != nil {
		t.Fatal(err)
	}
	want("reload", noPID)
	report(incarnation, fleet.PhaseReady, 80)
	want("report after the reload", 80)
	report(incarnation, fleet.PhaseExited, 90)
	want("exit", noPID)
}
