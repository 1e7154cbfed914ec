package agent

import (
	"fmt"
	"os"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"milletbarrow/internal/agent/agentstore"
	"milletbarrow/internal/fakes"
	"milletbarrow/internal/fleet"
	"milletbarrow/internal/limits"
	"milletbarrow/internal/supervisor"
	"milletbarrow/monotime"
)

// TestCommandResultsOfFaultyInstances checks the results of commands on real instance processes, one for each kind of
// fault. A flooded log must stay within its size limit.
func TestCommandResultsOfFaultyInstances(t *testing.T) {
	trace := fakes.NewTrace(t)
	h := newTestHost(t, "healthy", "ignoring", "exiting", "unready", "crashing", "flooding")
	h.startAgent(nil)
	h.mustSubmit("start", fleet.KindStart)
	h.traceResults(trace, "start")
	h.mustSubmit("drain", fleet.KindDrain)
	h.traceResults(trace, "drain")
	log := supervisor.PathsOf(h.dir, "flooding").Log
	for _, path := range []string{log, log + ".1"} {
		if info, err := os.Stat(path); err == nil && info.Size() > 3*limits.ForControl().LogFileSize {
			t.Errorf("%s has %d bytes", path, info.Size())
		}
	}
}

// crashingStore is a store that simulates a crash of the agent right before or after one of its writes.
type crashingStore struct {
	agentstore.Store
	writesLeft int           // the agent crashes at the write that makes it 0
	afterWrite bool          // crash after the write, not before it
	crashed    chan struct{} // closed at the crash
}

func (s *crashingStore) Save(c agentstore.Change) error {
	s.writesLeft--
	if s.writesLeft != 0 {
		return s.Store.Save(c)
	}
	if s.afterWrite {
		_ = s.Store.Save(c) // the agent crashes before it can see an error
	}
	close(s.crashed)
	runtime.Goexit() // ends the loop before it starts the saved actions
	return nil
}

// TestCommandsSurviveCrash checks that if the agent crashes before or after any write, the next agent completes the
// commands: every instance is launched as often as the commands require, and no more.
func TestCommandsSurviveCrash(t *testing.T) {
	for n := 1; n <= 14; n++ {
		for _, afterWrite := range []bool{false, true} {
			t.Run(fmt.Sprintf("write%d/done=%t", n, afterWrite), func(t *testing.T) {
				t.Parallel()
				checkCrashAtWrite(t, n, afterWrite)
			})
		}
	}
}

// checkCrashAtWrite runs three commands with an agent that crashes at its n-th write, and checks their results.
func checkCrashAtWrite(t *testing.T, n int, afterWrite bool) {
	t.Helper()
	h := newTimedHost(t, longTiming, "a", "b")
	crashed := make(chan struct{})
	h.startAgent(func(s agentstore.Store) agentstore.Store {
		return &crashingStore{Store: s, writesLeft: n, afterWrite: afterWrite, crashed: crashed}
	})
	restartAfterCrash := func() {
		select {
		case <-crashed:
			h.stopAgent()
			h.startAgent(nil)
			crashed = nil
		default:
		}
	}
	commands := []struct {
		id   string
		kind fleet.CommandKind
	}{
		{"start", fleet.KindStart},
		{"update", fleet.KindRollingUpdate},
		{"drain", fleet.KindDrain},
	}
	for _, command := range commands {
		h.waitUntil(command.id+" is accepted", func() bool { // a client retries until then
			restartAfterCrash()
			_, err := h.submit(command.id, command.kind)
			return err == nil
		})
		h.waitUntil(command.id+" has ended", func() bool {
			restartAfterCrash()
			return h.commandDone(command.id)
		})
	}
	if crashed != nil {
		t.Errorf("the agent did not crash: it made fewer than %d writes", n)
	}
	for _, command := range commands {
		for name, r := range h.agent.Command(command.id).Results {
			if r.Outcome != fleet.OutcomeSucceeded {
				t.Errorf("%s %s: %+v", command.id, name, r)
			}
		}
	}
	for _, name := range h.names {
		log, err := os.ReadFile(supervisor.PathsOf(h.dir, name).Log + supervisorLogSuffix)
		if err != nil {
			t.Fatal(err)
		}
		if launches := strings.Count(string(log), " launched "); launches != 2 {
			t.Errorf("%s was launched %d times, want 2:\n%s", name, launches, log)
		}
	}
}

// TestInstanceOfCrashedSupervisorIsAdopted checks that after the crash of a supervisor another one adopts its instance.
// A serving instance keeps serving, and a draining one keeps its notice.
func TestInstanceOfCrashedSupervisorIsAdopted(t *testing.T) {
	h := newTestHost(t, "a", "ignoring")
	h.startAgent(nil)
	h.mustSubmit("start", fleet.KindStart)
	h.waitForCommand("start")

	before := h.supervisorState("a")
	before.Supervisor.Signal(syscall.SIGKILL)
	fakes.Until(t, "another supervisor runs", func() bool {
		s := h.supervisorState("a")
		return s.Supervisor != before.Supervisor && s.Supervisor.Alive()
	})
	fakes.Until(t, "the instance is ready", func() bool {
		return h.agent.Status().Instances[0].Phase == fleet.PhaseReady
	})
	if s := h.supervisorState("a"); s.Instance != before.Instance || s.NoticeID != "" {
		t.Fatalf("%+v became %+v", before, s)
	}

	h.mustSubmit("drain", fleet.KindDrain)
	fakes.Until(t, "the notices are recorded", func() bool {
		return h.supervisorState("ignoring").NoticeID != "" && h.supervisorState("a").NoticeID != ""
	})
	h.supervisorState("ignoring").Supervisor.Signal(syscall.SIGKILL)
	h.supervisorState("a").Supervisor.Signal(syscall.SIGKILL)
	wantOutcomes(t, h.waitForCommand("drain"), map[string]fleet.Outcome{
		"a":        fleet.OutcomeSucceeded,
		"ignoring": fleet.OutcomeKilled,
	})
	if h.supervisorState("ignoring").Instance.Alive() {
		t.Error("the instance that ignores notices is still running")
	}
}

// TestNotifiedInstanceExitsWithoutAgent checks that an instance that has received a shutdown notice exits within its
// shutdown window while no agent is running. An instance that gets no CPU time until 150 ms before the end of its grace
// period is killed, so that period is much longer.
func TestNotifiedInstanceExitsWithoutAgent(t *testing.T) {
	const tolerance = 300 * monotime.Millisecond
	timing := shortTiming
	timing.grace, timing.exitTimeout = 2*time.Second, 2300*time.Millisecond
	maxDrainTime := monotime.FromDuration(timing.exitTimeout) + tolerance
	h := newTimedHost(t, timing, "a", "ignoring")
	h.startAgent(nil)
	h.mustSubmit("start", fleet.KindStart)
	h.waitForCommand("start")
	h.mustSubmit("drain", fleet.KindDrain)
	fakes.Until(t, "the notices are recorded", func() bool {
		return h.supervisorState("a").NoticeID != "" && h.supervisorState("ignoring").NoticeID != ""
	})
	h.stopAgent()
	for _, name := range h.names {
		fakes.Until(t, name+" has ended", func() bool {
			s := h.supervisorState(name)
			return s.Ended && s.End.DrainTime < maxDrainTime
		})
	}
	h.startAgent(nil)
	wantOutcomes(t, h.waitForCommand("drain"), map[string]fleet.Outcome{
		"a":        fleet.OutcomeSucceeded,
		"ignoring": fleet.OutcomeKilled,
	})
}

// TestAdoptedInstanceKeepsWindowOfLaunch guards against the kill of a draining instance by the shorter window of a
// configuration file that was replaced after its launch: a supervisor that adopted the instance judged by the new file.
func TestAdoptedInstanceKeepsWindowOfLaunch(t *testing.T) {
	t.Parallel()
	h := newTimedHost(t, longTiming, "a")
	h.startAgent(nil)
	h.mustSubmit("start", fleet.KindStart)
	h.waitUntil("the start has ended", func() bool { return h.commandDone("start") })

	h.timing.grace, h.timing.exitTimeout = shortTiming.grace, shortTiming.exitTimeout
	h.writeConfigs()
	before := h.supervisorState("a")
	before.Supervisor.Signal(syscall.SIGKILL)
	h.waitUntil("another supervisor runs", func() bool {
		s := h.supervisorState("a")
		return s.Supervisor != before.Supervisor && s.Supervisor.Alive()
	})
	h.waitUntil("the instance is ready", func() bool {
		return h.agent.Status().Instances[0].Phase == fleet.PhaseReady
	})

	h.mustSubmit("drain", fleet.KindDrain)
	h.waitUntil("the drain has ended", func() bool { return h.commandDone("drain") })
	wantOutcomes(t, h.agent.Command("drain"), map[string]fleet.Outcome{"a": fleet.OutcomeSucceeded})
}

// newLingeringDrain returns a host whose only instance is draining, for lingeringExitTime.
func newLingeringDrain(t *testing.T) *testHost {
	t.Helper()
	timing := longTiming
	timing.grace = 2 * time.Second
	h := newTimedHost(t, timing, "lingering")
	h.startAgent(nil)
	h.mustSubmit("start", fleet.KindStart)
	h.waitUntil("the start has ended", func() bool { return h.commandDone("start") })
	h.mustSubmit("drain", fleet.KindDrain)
	return h
}

// TestInstanceAdoptedAfterGraceDrainsToItsEnd guards against the kill of a draining instance by the supervisor that
// adopts it: when its grace period is nearly over, the supervisor took the missing response for a missed notice.
func TestInstanceAdoptedAfterGraceDrainsToItsEnd(t *testing.T) {
	t.Parallel()
	h := newLingeringDrain(t)
	h.waitUntil("the grace period has ended", func() bool {
		return h.agent.Status().Instances[0].Phase == fleet.PhaseStopping
	})
	h.stopAgent()
	h.supervisorState("lingering").Supervisor.Signal(syscall.SIGKILL)
	h.startAgent(nil)
	h.waitUntil("the drain has ended", func() bool { return h.commandDone("drain") })
	wantOutcomes(t, h.agent.Command("drain"), map[string]fleet.Outcome{"lingering": fleet.OutcomeSucceeded})
	if s := h.supervisorState("lingering"); s.End.KillReason != "" {
		t.Errorf("ended %v after its notice: %v", s.End.DrainTime.Duration(), s.End)
	}
}

// TestLaunchedWindowSetsAgentsKill guards against the agent's kill of a draining instance by the shorter window that
// its configuration file had when the agent started: the instance was launched with a newer file.
func TestLaunchedWindowSetsAgentsKill(t *testing.T) {
	t.Parallel()
	timing := longTiming
	timing.grace, timing.exitTimeout = 2*time.Second, 3*time.Second
	h := newTimedHost(t, timing, "lingering")
	h.startAgent(nil)
	h.timing.grace, h.timing.exitTimeout = longTiming.grace, longTiming.exitTimeout
	h.writeConfigs()
	h.mustSubmit("start", fleet.KindStart)
	h.waitUntil("the start has ended", func() bool { return h.commandDone("start") })
	h.mustSubmit("drain", fleet.KindDrain)
	h.waitUntil("the drain has ended", func() bool { return h.commandDone("drain") })
	wantOutcomes(t, h.agent.Command("drain"), map[string]fleet.Outcome{"lingering": fleet.OutcomeSucceeded})
}

// TestDrainSurvivesLossOfStore guards against the kill of a draining instance by an agent whose store was lost: it took
// the time of the notice for the deadline.
func TestDrainSurvivesLossOfStore(t *testing.T) {
	t.Parallel()
	h := newLingeringDrain(t)
	h.waitUntil("the instance drains", func() bool { return h.supervisorState("lingering").Acknowledged })
	h.stopAgent()
	if err := os.Remove(agentstore.Path(h.dir)); err != nil {
		t.Fatal(err)
	}
	h.startAgent(nil)
	h.waitUntil("the instance has ended", func() bool { return h.supervisorState("lingering").Ended })
	if s := h.supervisorState("lingering"); s.End.KillReason != "" {
		t.Errorf("ended %v after its notice: %v", s.End.DrainTime.Duration(), s.End)
	}
}

// TestReloadRejectsOmittedRunningInstance checks that a reload with a fleet file that omits a running instance is
// rejected, and that a reload can add instances.
func TestReloadRejectsOmittedRunningInstance(t *testing.T) {
	h := newTestHost(t, "a", "b", "c")
	h.spec = h.readSpec("a", "b")
	h.startAgent(nil)
	h.mustSubmit("start", fleet.KindStart, "a", "b")
	h.waitForCommand("start")
	err := h.agent.Reload(h.readSpec("a", "c"))
	if err == nil || !strings.Contains(err.Error(), "instance b runs on this host") {
		t.Fatalf("reload without b: %v, want an error that names it", err)
	}
	if err := h.agent.Reload(h.readSpec("a", "b", "c")); err != nil {
		t.Fatal(err)
	}
	h.mustSubmit("start-all", fleet.KindStart, "a", "b", "c")
	c := h.waitForCommand("start-all")
	if c.Results["c"].Outcome != fleet.OutcomeSucceeded || c.Results["a"].Outcome == fleet.OutcomeFailed {
		t.Errorf("results %+v", c.Results)
	}
}
