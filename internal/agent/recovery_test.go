package agent

import (
	"fmt"
	"os"
	"runtime"
	"strings"
	"syscall"
	"testing"

	"milletbarrow/internal/agent/agentstore"
	"milletbarrow/internal/fakes"
	"milletbarrow/internal/fleet"
	"milletbarrow/internal/limits"
	"milletbarrow/internal/supervisor"
	"milletbarrow/monotime"
)

// TestFaultyInstances shows the results of commands on instances with each kind of fault, as real processes.
func TestFaultyInstances(t *testing.T) {
	trace := fakes.NewTrace(t)
	h := newTestHost(t, "well", "deaf", "dies", "never", "crashes", "talks")
	h.startAgent(nil)
	h.mustSubmit("up", fleet.KindStart)
	h.traceResults(trace, "up")
	h.mustSubmit("down", fleet.KindDrain)
	h.traceResults(trace, "down")
	log := supervisor.PathsOf(h.dir, "talks").Log
	for _, path := range []string{log, log + ".1"} {
		if info, err := os.Stat(path); err == nil && info.Size() > 3*limits.ForControl().LogFileSize {
			t.Errorf("%s has %d bytes", path, info.Size())
		}
	}
}

// crashingStore is a store at whose n-th write the agent crashes, before the write or after it.
type crashingStore struct {
	agentstore.Store
	writesLeft int
	afterWrite bool
	crashed    chan struct{} // closed at the crash
}

func (s *crashingStore) Save(c agentstore.Change) error {
	s.writesLeft--
	if s.writesLeft != 0 {
		return s.Store.Save(c)
	}
	if s.afterWrite {
		_ = s.Store.Save(c) // the agent crashes before it learns of an error
	}
	close(s.crashed)
	runtime.Goexit() // ends the loop, which has not started its actions
	return nil
}

// TestCrashAtEveryWrite holds that after a crash of the agent at any write, before or after it, the next agent finishes
// what was begun: every instance has the incarnations that the commands ask for, and no more.
func TestCrashAtEveryWrite(t *testing.T) {
	for n := 1; n <= 14; n++ {
		for _, afterWrite := range []bool{false, true} {
			t.Run(fmt.Sprintf("write%d/done=%t", n, afterWrite), func(t *testing.T) {
				t.Parallel()
				crashAtWrite(t, n, afterWrite)
			})
		}
	}
}

// crashAtWrite runs three commands with an agent that crashes at its n-th write, and checks their results.
func crashAtWrite(t *testing.T, n int, afterWrite bool) {
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
		{"up", fleet.KindStart},
		{"update", fleet.KindRollingUpdate},
		{"down", fleet.KindDrain},
	}
	for _, command := range commands {
		h.waitUntil(command.id+" is accepted", func() bool { // a client sends it until then
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
		t.Errorf("the agent did not crash: there is no write %d", n)
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

// TestSupervisorCrash holds that another supervisor adopts the instance of one that crashed: a serving instance goes on
// serving, and one that drains keeps its notice.
func TestSupervisorCrash(t *testing.T) {
	h := newTestHost(t, "a", "deaf")
	h.startAgent(nil)
	h.mustSubmit("up", fleet.KindStart)
	h.waitForCommand("up")

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

	h.mustSubmit("down", fleet.KindDrain)
	fakes.Until(t, "the notices are recorded", func() bool {
		return h.supervisorState("deaf").NoticeID != "" && h.supervisorState("a").NoticeID != ""
	})
	h.supervisorState("deaf").Supervisor.Signal(syscall.SIGKILL)
	h.supervisorState("a").Supervisor.Signal(syscall.SIGKILL)
	wantOutcomes(t, h.waitForCommand("down"), map[string]fleet.Outcome{
		"a":    fleet.OutcomeSucceeded,
		"deaf": fleet.OutcomeKilled,
	})
	if h.supervisorState("deaf").Instance.Alive() {
		t.Error("the deaf instance still runs")
	}
}

// TestDrainWithoutAgent holds that an instance with a shutdown notice exits within its window while no agent runs.
func TestDrainWithoutAgent(t *testing.T) {
	const maxDrainTime = 900 * monotime.Millisecond
	h := newTestHost(t, "a", "deaf")
	h.startAgent(nil)
	h.mustSubmit("up", fleet.KindStart)
	h.waitForCommand("up")
	h.mustSubmit("down", fleet.KindDrain)
	fakes.Until(t, "the notices are recorded", func() bool {
		return h.supervisorState("a").NoticeID != "" && h.supervisorState("deaf").NoticeID != ""
	})
	h.stopAgent()
	for _, name := range h.names {
		fakes.Until(t, name+" has ended", func() bool {
			s := h.supervisorState(name)
			return s.Ended && s.End.DrainTime < maxDrainTime
		})
	}
	h.startAgent(nil)
	wantOutcomes(t, h.waitForCommand("down"), map[string]fleet.Outcome{
		"a":    fleet.OutcomeSucceeded,
		"deaf": fleet.OutcomeKilled,
	})
}

// TestReload holds that a changed fleet file adds instances, and is rejected if it does not name one that runs.
func TestReload(t *testing.T) {
	h := newTestHost(t, "a", "b", "c")
	h.spec = h.readSpec("a", "b")
	h.startAgent(nil)
	h.mustSubmit("up", fleet.KindStart, "a", "b")
	h.waitForCommand("up")
	err := h.agent.Reload(h.readSpec("a", "c"))
	if err == nil || !strings.Contains(err.Error(), "instance b runs on this host") {
		t.Fatalf("without b: %v, want an error that names it", err)
	}
	if err := h.agent.Reload(h.readSpec("a", "b", "c")); err != nil {
		t.Fatal(err)
	}
	h.mustSubmit("more", fleet.KindStart, "a", "b", "c")
	c := h.waitForCommand("more")
	if c.Results["c"].Outcome != fleet.OutcomeSucceeded || c.Results["a"].Outcome == fleet.OutcomeFailed {
		t.Errorf("results %+v", c.Results)
	}
}
