package fleet

import (
	"testing"

	"milletbarrow/internal/fakes"
	"milletbarrow/monotime"
)

// twoInstances is a fleet of one group with the instances a and b and the spare x.
const twoInstances = `(fleet f (host h1 (agent "unix:/tmp/h1"))
	(group g (config "%n.json") (start-within 5s) (settle 1s) (restart (most 2) (within 20s))
		(instances a b) (spares x))
	(wave (least-share 0.5) (stall 10s)))`

// scenarioHost is a host with twoInstances whose commands are traced.
type scenarioHost struct {
	*simulatedHost
	trace *fakes.Trace
}

// traceState prints the state of a command and of its instances.
func (host *scenarioHost) traceState(id string) {
	command := host.m.Command(id)
	if command == nil {
		host.trace.Say("  %s: not known", id)
		return
	}
	host.trace.Say("  %s: %s %s", id, command.State, command.Cause)
	for _, name := range command.instanceNames() {
		inst, _ := host.m.Instance(name)
		result, ended := command.Results[name]
		host.trace.Say("    %s %s launched %d: %t %s %s",
			name, inst.Phase, host.launches[name], ended, result.Outcome, result.Cause)
	}
}

// traceCommand gives the machine a command and prints its error.
func (host *scenarioHost) traceCommand(id string, kind CommandKind, within monotime.Micros, names ...string) {
	host.trace.Say("  %v", host.command(id, kind, within, names...))
}

// commandScenario is a sequence of commands and faults.
type commandScenario struct {
	name string
	run  func(*scenarioHost)
}

// TestCommandScenarios compares the results of commands under each kind of fault with the stored trace.
func TestCommandScenarios(t *testing.T) {
	trace := fakes.NewTrace(t)
	for _, scenarios := range [][]commandScenario{
		startStopScenarios, failureScenarios, unreachableScenarios, rollingUpdateScenarios, observationScenarios,
	} {
		for _, scenario := range scenarios {
			trace.Say("%s", scenario.name)
			scenario.run(&scenarioHost{newHost(t, readTestSpec(t, twoInstances)), trace})
		}
	}
}

var startStopScenarios = []commandScenario{
	{"started, started again, drained", func(host *scenarioHost) {
		startAll(host.simulatedHost)
		host.traceState("up")
		host.mustCommand("up2", KindStart, second, "a", "b")
		host.traceState("up2")
		host.mustCommand("down", KindDrain, 10*second, "a", "b")
		host.advance(4*second, nil)
		host.traceState("down")
		host.mustCommand("down2", KindStop, 10*second, "a")
		host.traceState("down2")
	}},
	{"the same command twice, and another with its id", func(host *scenarioHost) {
		startAll(host.simulatedHost)
		host.traceCommand("r", KindRestart, 20*second, "a")
		host.traceCommand("r", KindRestart, 20*second, "a")
		host.traceCommand("r", KindDrain, 20*second, "a")
		host.advance(8*second, nil)
		host.traceCommand("r", KindRestart, 20*second, "a")
		host.advance(8*second, nil)
		host.traceState("r")
	}},
	{"a later command supersedes an earlier one; a notified instance exits all the same", func(host *scenarioHost) {
		startAll(host.simulatedHost)
		host.mustCommand("d", KindDrain, 10*second, "a", "b")
		host.advance(second/2, nil)
		host.mustCommand("s", KindStart, 10*second, "a")
		host.advance(6*second, nil)
		host.traceState("d")
		host.traceState("s")
	}},
}

var failureScenarios = []commandScenario{
	{"the instance does not react to the notice", func(host *scenarioHost) {
		startAll(host.simulatedHost)
		host.fakes["a"].unresponsive = true
		host.mustCommand("d", KindRestart, 20*second, "a")
		host.advance(6*second, nil)
		host.traceState("d")
	}},
	{"the instance crashes while draining", func(host *scenarioHost) {
		startAll(host.simulatedHost)
		host.mustCommand("d", KindDrain, 10*second, "a")
		host.advance(second, nil)
		host.fakes["a"].exit(Exit{Code: -1, Signal: "killed", DrainTime: second})
		host.advance(second, nil)
		host.traceState("d")
	}},
	{"the instance crashes until its launch budget is used up; a command launches it again", func(host *scenarioHost) {
		startAll(host.simulatedHost)
		for range 6 {
			host.fakes["a"].exit(Exit{Code: 3})
			host.advance(3*second, nil)
		}
		host.traceState("up")
		host.mustCommand("again", KindStart, 10*second, "a")
		host.advance(2*second, nil)
		host.traceState("again")
	}},
	{"the instance does not become ready", func(host *scenarioHost) {
		host.fakes["a"].neverReady = true
		host.mustCommand("up", KindStart, 30*second, "a", "b")
		host.advance(12*second, nil)
		host.traceState("up")
	}},
	{"the instance can't be launched", func(host *scenarioHost) {
		host.dropAction = dropKind(ActionLaunch)
		host.mustCommand("up", KindStart, 30*second, "a")
		inst, _ := host.m.Instance("a")
		host.mustApply(ActionFailed{Name: "a", ActionID: inst.ActionID, Cause: "no such program", Final: true})
		host.traceState("up")
	}},
	{"an immediate stop kills the instance", func(host *scenarioHost) {
		startAll(host.simulatedHost)
		host.mustApply(CommandReceived{&Command{
			ID: "k", Kind: KindStop, Names: []string{"a"}, RequestedBy: "test",
			Deadline: host.now + 9*second, Immediate: true,
		}})
		host.advance(second, nil)
		host.traceState("k")
	}},
}

var unreachableScenarios = []commandScenario{
	{"the supervisor dies, the notice is lost, and another supervisor takes over", func(host *scenarioHost) {
		startAll(host.simulatedHost)
		host.fakes["a"].supervised = false
		host.mustCommand("d", KindDrain, 20*second, "a")
		host.advance(second, nil)
		host.trace.Say("  supervised %t, notified %t", host.fakes["a"].supervised, host.fakes["a"].noticeID != "")
		host.advance(4*second, nil)
		host.traceState("d")
	}},
	{"no notice arrives within the shutdown window, and the agent kills the instance", func(host *scenarioHost) {
		startAll(host.simulatedHost)
		host.dropAction = dropKind(ActionNotify)
		host.mustCommand("d", KindDrain, 20*second, "a")
		host.advance(6*second, nil)
		host.traceState("d")
	}},
	{"the deadline passes before the exit is observed; the instance exits all the same", func(host *scenarioHost) {
		startAll(host.simulatedHost)
		host.mustCommand("d", KindDrain, second, "a")
		host.advance(4*second, func(name string) bool { return name == "a" })
		host.traceState("d")
		host.trace.Say("  alive %t", host.fakes["a"].alive)
	}},
}

var rollingUpdateScenarios = []commandScenario{
	{"a rolling update with invalid instances or impossible settings", func(host *scenarioHost) {
		startAll(host.simulatedHost)
		host.traceCommand("w", KindRollingUpdate, 60*second, "a", "x")
		host.traceCommand("w", KindRollingUpdate, 60*second, "a", "a")
		host.traceCommand("w", KindRollingUpdate, 60*second, "c")
		host.traceCommand("w", KindRollingUpdate, 0, "a")
		host.traceCommand("-w", KindRollingUpdate, second, "a")
		host.spec.RollingUpdate.MinReady = 2
		host.traceCommand("w", KindRollingUpdate, 60*second, "a")
		host.spec.RollingUpdate.Surge = 1
		host.traceCommand("w", KindRollingUpdate, 60*second, "a", "b")
		host.traceCommand("w2", KindRollingUpdate, 60*second, "a", "b")
		host.advance(20*second, nil)
		host.traceState("w")
	}},
	{"a rolling update pauses at an instance that does not become ready, and resumes", func(host *scenarioHost) {
		startAll(host.simulatedHost)
		host.fakes["a"].neverReady = true
		host.mustCommand("w", KindRollingUpdate, 120*second, "a", "b")
		host.advance(15*second, nil)
		host.traceState("w")
		host.fakes["a"].neverReady = false
		host.mustApply(CommandControl{CommandID: "w", Verb: VerbResume, RequestedBy: "test"})
		host.advance(15*second, nil)
		host.traceState("w") // b must not restart: a is down, and half of two must stay ready
		host.mustCommand("a-up", KindStart, 20*second, "a")
		host.advance(4*second, nil)
		host.mustApply(CommandControl{CommandID: "w", Verb: VerbResume, RequestedBy: "test"})
		host.advance(15*second, nil)
		host.traceState("w")
	}},
	{"a cancelled rolling update completes the restart in progress and begins no other", func(host *scenarioHost) {
		startAll(host.simulatedHost)
		host.mustCommand("w", KindRollingUpdate, 120*second, "a", "b")
		host.advance(second, nil)
		cancel := func(id string) error {
			return host.apply(CommandControl{CommandID: id, Verb: VerbCancel, RequestedBy: "test"})
		}
		host.trace.Say("  %v, %v, %v", cancel("w"), cancel("v"), cancel("up"))
		host.advance(6*second, nil)
		host.traceState("w")
	}},
	{"a drain takes an instance out of a rolling update, which waits for its minimum", func(host *scenarioHost) {
		startAll(host.simulatedHost)
		host.mustCommand("w", KindRollingUpdate, 120*second, "a", "b")
		host.advance(second, nil)
		host.mustCommand("d", KindDrain, 20*second, "b")
		host.advance(9*second, nil)
		host.traceState("w")
		host.traceState("d")
	}},
}

var observationScenarios = []commandScenario{
	{"the history has each change of the degradation level once", func(host *scenarioHost) {
		startAll(host.simulatedHost)
		for _, level := range []string{"full", "full", "no-reprints", "no-reprints", "full"} {
			_, events, _ := host.m.Decide(host.now, InstanceObserved{Name: "a", Observation: Observation{
				Incarnation: host.fakes["a"].incarnation, Phase: PhaseReady, Level: level, LevelCause: "queue 2",
			}})
			for _, event := range events {
				host.trace.Say("  %s %s, %s", event.Name, event.Event, event.Cause)
			}
		}
	}},
	{"too many rejections pause a rolling update", func(host *scenarioHost) {
		host.spec.RollingUpdate.MaxRejectedShare = 0.5
		startAll(host.simulatedHost)
		host.mustCommand("w", KindRollingUpdate, 120*second, "a", "b")
		for n := range 80 {
			host.advance(second/10, func(name string) bool { return name == "b" })
			host.mustApply(InstanceObserved{Name: "b", Observation: Observation{
				Incarnation: host.fakes["b"].incarnation, Phase: PhaseReady, Invocations: 100 * n, Rejected: 80 * n,
			}})
		}
		host.traceState("w")
	}},
}
