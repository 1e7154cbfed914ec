package fleet

import (
	"testing"

	"milletbarrow/internal/fakes"
)

// reportCommand prints how a command stands.
func reportCommand(tr *fakes.Trace, host *simulatedHost, id string) {
	c := host.m.Command(id)
	if c == nil {
		tr.Say("  %s: not known", id)
		return
	}
	tr.Say("  %s: %s %s", id, c.State, c.Cause)
	for _, n := range c.instanceNames() {
		inst, _ := host.m.Instance(n)
		r, over := c.Results[n]
		tr.Say("    %s %s launched %d: %t %s %s", n, inst.Phase, host.launches[n], over, r.Outcome, r.Cause)
	}
}

const twoInstances = `(fleet f (host h1 (agent "unix:/tmp/h1")) (group g (config "%n.json") (start-within 5s) (settle 1s)
	(restart (most 2) (within 20s)) (instances a b) (spares x)) (wave (least-share 0.5) (stall 10s)))`

// TestCommandScenarios: what commands do under each kind of fault, one after the other.
func TestCommandScenarios(t *testing.T) {
	tr := fakes.NewTrace(t)
	story := func(what string) *simulatedHost {
		tr.Say("%s", what)
		return newHost(t, readTestSpec(t, twoInstances))
	}
	host := story("started, started again, drained")
	startAll(host)
	reportCommand(tr, host, "up")
	host.mustCommand("up2", KindStart, second, "a", "b")
	reportCommand(tr, host, "up2")
	host.mustCommand("down", KindDrain, 10*second, "a", "b")
	host.advance(4*second, nil)
	reportCommand(tr, host, "down")
	host.mustCommand("down2", KindStop, 10*second, "a")
	reportCommand(tr, host, "down2")

	host = story("the same command twice, and another with its id")
	startAll(host)
	tr.Say("  %v", host.command("r", KindRestart, 20*second, "a"))
	tr.Say("  %v", host.command("r", KindRestart, 20*second, "a"))
	tr.Say("  %v", host.command("r", KindDrain, 20*second, "a"))
	host.advance(8*second, nil)
	tr.Say("  %v", host.command("r", KindRestart, 20*second, "a"))
	host.advance(8*second, nil)
	reportCommand(tr, host, "r")

	host = story("a later command supersedes an earlier one; what was told to leave leaves all the same")
	startAll(host)
	host.mustCommand("d", KindDrain, 10*second, "a", "b")
	host.advance(second/2, nil)
	host.mustCommand("s", KindStart, 10*second, "a")
	host.advance(6*second, nil)
	reportCommand(tr, host, "d")
	reportCommand(tr, host, "s")

	host = story("deaf to the notice")
	startAll(host)
	host.fakes["a"].unresponsive = true
	host.mustCommand("d", KindRestart, 20*second, "a")
	host.advance(6*second, nil)
	reportCommand(tr, host, "d")

	host = story("dies by itself while draining")
	startAll(host)
	host.mustCommand("d", KindDrain, 10*second, "a")
	host.advance(second, nil)
	host.fakes["a"].exit(Exit{Code: -1, Signal: "killed", DrainTime: second})
	host.advance(second, nil)
	reportCommand(tr, host, "d")

	host = story("dies by itself again and again, until its launches are spent; asked for, it is tried anew")
	startAll(host)
	for range 6 {
		host.fakes["a"].exit(Exit{Code: 3})
		host.advance(3*second, nil)
	}
	reportCommand(tr, host, "up")
	host.mustCommand("again", KindStart, 10*second, "a")
	host.advance(2*second, nil)
	reportCommand(tr, host, "again")

	host = story("never ready")
	host.fakes["a"].neverReady = true
	host.mustCommand("up", KindStart, 30*second, "a", "b")
	host.advance(12*second, nil)
	reportCommand(tr, host, "up")

	host = story("can't be launched")
	host.dropAction = func(s Action) bool { return s.Kind == ActionLaunch }
	host.mustCommand("up", KindStart, 30*second, "a")
	inst, _ := host.m.Instance("a")
	host.mustApply(ActionFailed{"a", inst.ActionID, "no such program", true})
	reportCommand(tr, host, "up")

	host = story("killed at once")
	startAll(host)
	host.mustApply(CommandReceived{&Command{ID: "k", Kind: KindStop, Names: []string{"a"}, RequestedBy: "test", Deadline: host.now + 9*second, Immediate: true}})
	host.advance(second, nil)
	reportCommand(tr, host, "k")

	host = story("its keeper dies, with the notice given and lost; another takes over")
	startAll(host)
	host.fakes["a"].supervised = false
	host.mustCommand("d", KindDrain, 20*second, "a")
	host.advance(second, nil)
	tr.Say("  keeper %t, told %t", host.fakes["a"].supervised, host.fakes["a"].noticeID != "")
	host.advance(4*second, nil)
	reportCommand(tr, host, "d")

	host = story("no sign of it for the whole window: the agent kills it itself")
	startAll(host)
	host.dropAction = func(s Action) bool { return s.Kind == ActionNotify }
	host.mustCommand("d", KindDrain, 20*second, "a")
	host.advance(6*second, nil)
	reportCommand(tr, host, "d")

	host = story("time is over before it can be seen; it leaves all the same")
	startAll(host)
	host.mustCommand("d", KindDrain, second, "a")
	host.advance(4*second, func(n string) bool { return n == "a" })
	reportCommand(tr, host, "d")
	tr.Say("  alive %t", host.fakes["a"].alive)

	host = story("a wave over the wrong names, or with terms that none can go by")
	startAll(host)
	tr.Say("  %v", host.command("w", KindRollingUpdate, 60*second, "a", "x"))
	tr.Say("  %v", host.command("w", KindRollingUpdate, 60*second, "a", "a"))
	tr.Say("  %v", host.command("w", KindRollingUpdate, 60*second, "c"))
	tr.Say("  %v", host.command("w", KindRollingUpdate, 0, "a"))
	tr.Say("  %v", host.command("-w", KindRollingUpdate, second, "a"))
	host.spec.RollingUpdate.MinReady = 2
	tr.Say("  %v", host.command("w", KindRollingUpdate, 60*second, "a"))
	host.spec.RollingUpdate.Surge = 1
	tr.Say("  %v", host.command("w", KindRollingUpdate, 60*second, "a", "b"))
	tr.Say("  %v", host.command("w2", KindRollingUpdate, 60*second, "a", "b"))
	host.advance(20*second, nil)
	reportCommand(tr, host, "w")

	host = story("a wave meets an instance that does not become ready, pauses, and goes on when told")
	startAll(host)
	host.fakes["a"].neverReady = true
	host.mustCommand("w", KindRollingUpdate, 120*second, "a", "b")
	host.advance(15*second, nil)
	reportCommand(tr, host, "w")
	host.fakes["a"].neverReady = false
	host.mustApply(CommandControl{"w", "resume", "test"})
	host.advance(15*second, nil)
	reportCommand(tr, host, "w") // b may not leave: a is down, and half of two must stay ready
	host.mustCommand("a-up", KindStart, 20*second, "a")
	host.advance(4*second, nil)
	host.mustApply(CommandControl{"w", "resume", "test"})
	host.advance(15*second, nil)
	reportCommand(tr, host, "w")

	host = story("a wave is cancelled: what is out comes back, the rest stays")
	startAll(host)
	host.mustCommand("w", KindRollingUpdate, 120*second, "a", "b")
	host.advance(second, nil)
	tr.Say("  %v, %v, %v", host.apply(CommandControl{"w", "cancel", "test"}), host.apply(CommandControl{"v", "cancel", "test"}), host.apply(CommandControl{"up", "cancel", "test"}))
	host.advance(6*second, nil)
	reportCommand(tr, host, "w")

	host = story("an instance that is drained by hand leaves the wave, which waits for its budget")
	startAll(host)
	host.mustCommand("w", KindRollingUpdate, 120*second, "a", "b")
	host.advance(second, nil)
	host.mustCommand("d", KindDrain, 20*second, "b")
	host.advance(9*second, nil)
	reportCommand(tr, host, "w")
	reportCommand(tr, host, "d")

	host = story("an instance tells of its level of reduced service; the history has it, once a change")
	startAll(host)
	for _, level := range []string{"full", "full", "no-reprints", "no-reprints", "full"} {
		_, notes, _ := host.m.Decide(host.now, InstanceObserved{Name: "a", Observation: Observation{Incarnation: host.fakes["a"].incarnation, Phase: PhaseReady, Level: level, LevelCause: "queue 2"}})
		for _, n := range notes {
			tr.Say("  %s %s, %s", n.Name, n.Event, n.Cause)
		}
	}

	host = story("service falls while a wave rolls")
	host.spec.RollingUpdate.MaxRejectedShare = 0.5
	startAll(host)
	host.mustCommand("w", KindRollingUpdate, 120*second, "a", "b")
	for n := range 80 {
		host.advance(second/10, func(n string) bool { return n == "b" })
		host.mustApply(InstanceObserved{Name: "b", Observation: Observation{Incarnation: host.fakes["b"].incarnation, Phase: PhaseReady, Invocations: 100 * n, Rejected: 80 * n}})
	}
	reportCommand(tr, host, "w")
}
