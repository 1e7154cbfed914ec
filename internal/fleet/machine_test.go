package fleet

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"milletbarrow/internal/fakes"
	"milletbarrow/internal/limits"
	"milletbarrow/monotime"
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

// TestSpecErrors: a fleet's file that can't be used says where, and all of it at once.
func TestSpecErrors(t *testing.T) {
	tr := fakes.NewTrace(t)
	for _, text := range []string{
		"(wave)", "(fleet f)", `(fleet f (host h (agent "unix:/a")) (host h (agent 10.0.0.1:80)))`,
		`(fleet f (host h1 (agent "unix:/a")) (group g (config c) (instances a b)) (group g (host z) (config "%n") (instances a ../x)))`,
		`(fleet f (host h1 (agent "127.0.0.1:70000")) (group g (config "%n") (range n 5 2) (settle 2h30) (colour red)))`,
		`(fleet f (host h1 (agent "unix:/a")) (group g (config "%n") (instances a)) (wave (width 0) (least-share 2) (order up) (stall 0s)))`,
	} {
		_, err := ReadSpec("fleet.sx", []byte(text), limits.ForControl())
		tr.Say("%s\n%v", text, err)
	}
	s := readTestSpec(t, groupsOf(2, 2, 1, ""))
	for _, q := range []Selection{
		{}, {All: true}, {Groups: []string{"g1"}}, {Names: []string{"g0-s1", "g1-n2"}}, {Names: []string{"nobody"}}, {Hosts: []string{"h1"}},
	} {
		all, err := s.Select(q)
		names := make([]string, 0, len(all))
		for _, inst := range all {
			names = append(names, inst.Name)
		}
		tr.Say("%+v: %v %v", q, names, err)
	}
	steps, err := Preview(s, "h1", []string{"g0-n1", "g0-n2", "g1-n1"}, RollingUpdateConfig{MaxInProgress: 2, MinReadyShare: 0.5, Order: "spread", StallTimeout: 1, MaxRejectedShare: 1})
	tr.Say("%v %v", planText(steps), err)
	_, err = Preview(s, "h1", []string{"g0-n1"}, RollingUpdateConfig{MaxInProgress: 2, MinReadyShare: 1, Order: "file", StallTimeout: 1, MaxRejectedShare: 1})
	tr.Say("%v", err)
}

// TestRolloutCoordinator: what goes wrong on one host does not go on to the next, and the fleet's budget holds over
// all.
func TestRolloutCoordinator(t *testing.T) {
	tr := fakes.NewTrace(t)
	coordinator := &RolloutCoordinator{Hosts: []string{"a", "b", "c"}, Config: RollingUpdateConfig{MinReadyShare: 0.8, StallTimeout: 10}, MaxConcurrentHosts: 2}
	fact := func(s CommandState) HostProgress {
		return HostProgress{Reachable: true, State: s, Ready: 10, DesiredUp: 10, MaxUnavailable: 3}
	}
	for _, f := range []map[string]HostProgress{
		{"a": fact(""), "b": fact(""), "c": fact("")},
		{"a": fact(CommandOpen), "b": fact(CommandOpen), "c": fact("")},
		{"a": fact(CommandDone), "b": fact(CommandOpen), "c": fact("")},
		{"a": fact(CommandDone), "b": fact(CommandDone), "c": fact(CommandDone)},
		{"a": fact(CommandDone), "b": fact(CommandPaused), "c": fact("")},
		{"a": {Reachable: true, State: CommandDone, Failed: true, Cause: "n3"}, "b": fact(""), "c": fact("")},
		{"a": {}, "b": fact(""), "c": fact("")},
		{"a": {Reachable: true, Ready: 6, DesiredUp: 10, MaxUnavailable: 3}, "b": {Reachable: true, Ready: 8, DesiredUp: 10, MaxUnavailable: 3}, "c": fact("")},
	} {
		tr.Say("%s", rolloutText(coordinator.Next(100, f)))
	}
	tr.Say("and after the stall: %s", rolloutText(coordinator.Next(110, map[string]HostProgress{"a": {Reachable: true, Ready: 6, DesiredUp: 10, MaxUnavailable: 3}, "b": fact(""), "c": fact("")})))
}

// rolloutText prints a step of a rollout as the stored trace has it.
func rolloutText(s RolloutStep) string {
	return fmt.Sprintf("{Begin:%v Over:%t Why:%s}", s.Begin, s.Finished, s.StopReason)
}

// planText prints a plan as the stored trace has it.
func planText(steps []PlanStep) string {
	words := make([]string, 0, len(steps))
	for _, s := range steps {
		words = append(words, fmt.Sprintf("{Name:%s Group:%s Batch:%d Ready:%d Least:%d}", s.Name, s.Group, s.Batch, s.Ready, s.MinReady))
	}
	return "[" + strings.Join(words, " ") + "]"
}

// TestLaunchBudget: attempts within the window are bounded.
func TestLaunchBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget, now := LaunchBudget{MaxAttempts: rapid.IntRange(0, 5).Draw(t, "attempts"), Window: 100}, monotime.Micros(0)
		var taken []monotime.Micros
		for range 50 {
			now += monotime.Micros(rapid.IntRange(0, 60).Draw(t, "step"))
			if budget.Take(now) {
				taken = append(taken, now)
			}
			if inst := len(slices.DeleteFunc(slices.Clone(taken), func(at monotime.Micros) bool { return now-at >= 100 })); inst > budget.MaxAttempts {
				t.Fatalf("%d taken within the window, at most %d", inst, budget.MaxAttempts)
			}
		}
	})
}

// TestInterleavings: whatever comes in whatever order, never more is in progress than allowed, no incarnation is
// notified twice or launched beside another, none that was notified is without a deadline, results never change, and
// every command ends with exactly one an instance.
func TestInterleavings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		groups, each := rapid.IntRange(1, 2).Draw(t, "groups"), rapid.IntRange(1, 4).Draw(t, "each")
		spares := rapid.IntRange(0, 1).Draw(t, "spares")
		update := fmt.Sprintf("(width %d) (least-share %v) (surge %d) (failures %d) (stall 8s) (order %s)",
			rapid.IntRange(1, 3).Draw(t, "width"), rapid.SampledFrom([]float64{0, 0.5, 0.75, 1}).Draw(t, "least"),
			spares, rapid.IntRange(0, 2).Draw(t, "failures"), rapid.SampledFrom([]string{"file", "name", "spread"}).Draw(t, "order"))
		host := newHost(t, readTestSpec(t, groupsOf(groups, each, spares, update)))
		rnd := newRandom(rapid.Uint64().Draw(t, "seed"))
		first := map[string]map[string]Result{}
		out := map[string]bool{}
		host.check = func(actions []Action) { checkInvariants(t, host, actions, first, out) }
		host.dropAction = func(Action) bool { return rnd.IntN(10) == 0 }
		blind := func(string) bool { return rnd.IntN(5) == 0 }
		startAll(host)
		orders := 0
		names := host.m.Names()
		t.Repeat(map[string]func(*rapid.T){
			"order": func(t *rapid.T) {
				kind := rapid.SampledFrom([]CommandKind{KindStart, KindDrain, KindStop, KindRestart, KindRollingUpdate, KindRollingUpdate}).Draw(t, "kind")
				some := rapid.SliceOfNDistinct(rapid.SampledFrom(names), 1, -1, rapid.ID).Draw(t, "names")
				orders++
				_ = host.command(fmt.Sprint("c", orders), kind, monotime.Micros(rapid.IntRange(1, 60).Draw(t, "due"))*second, some...)
			},
			"steer": func(t *rapid.T) {
				verb := rapid.SampledFrom([]Verb{VerbPause, VerbResume, VerbCancel}).Draw(t, "verb")
				_ = host.apply(CommandControl{fmt.Sprint("c", rapid.IntRange(1, orders+1).Draw(t, "id")), verb, "test"})
			},
			"die": func(t *rapid.T) {
				fake := host.fakes[rapid.SampledFrom(names).Draw(t, "name")]
				if fake.alive {
					fake.exit(Exit{Code: 1})
				}
			},
			"supervisor dies": func(t *rapid.T) { host.fakes[rapid.SampledFrom(names).Draw(t, "name")].supervised = false },
			"unresponsive": func(t *rapid.T) {
				fake := host.fakes[rapid.SampledFrom(names).Draw(t, "name")]
				fake.unresponsive = !fake.unresponsive
			},
			"never ready": func(t *rapid.T) {
				fake := host.fakes[rapid.SampledFrom(names).Draw(t, "name")]
				fake.neverReady = !fake.neverReady
			},
			"late observation": func(*rapid.T) { // of an incarnation that is over
				for _, s := range host.pastObservations {
					if fake := host.fakes[s.Name]; s.Observation.Incarnation != fake.incarnation && rnd.IntN(3) == 0 {
						_ = host.apply(s)
					}
				}
				host.pastObservations = nil
			},
			"agent dies":      func(*rapid.T) { host.restart() },
			"agent dies next": func(*rapid.T) { host.crashNext = true },
			"clock jumps":     func(t *rapid.T) { host.now += monotime.Micros(rapid.IntRange(0, 30).Draw(t, "jump")) * second },
			"time":            func(t *rapid.T) { host.advance(monotime.Micros(rapid.IntRange(1, 40).Draw(t, "span"))*100_000, blind) },
		})
		host.dropAction, host.crashNext = nil, false
		host.advance(90*second, nil)
		for _, c := range host.m.Commands() {
			if c.State != CommandDone || len(c.Results) != len(c.Names)+len(c.Spares) {
				t.Fatalf("%s has not ended: %+v", c.ID, c)
			}
		}
		for _, n := range names {
			if inst, _ := host.m.Instance(n); !inst.DesiredUp && host.fakes[n].alive {
				t.Fatalf("%s is not desired up and runs: %+v", n, inst)
			}
		}
	})
}

// checkInvariants holds the actions and the state after them against what must be true at all times.
func checkInvariants(t *rapid.T, host *simulatedHost, actions []Action, first map[string]map[string]Result, out map[string]bool) {
	for _, n := range host.m.Names() {
		inst, _ := host.m.Instance(n)
		if inst.NoticeID != "" && inst.PhaseDeadline == 0 {
			t.Fatalf("%s was notified and has no deadline: %+v", n, inst)
		}
		if inst.Incarnation == "" && !inst.Phase.Down() {
			t.Fatalf("%s is %s without an incarnation", n, inst.Phase)
		}
	}
	for _, c := range host.m.Commands() {
		if first[c.ID] == nil {
			first[c.ID] = map[string]Result{}
		}
		for n, r := range c.Results {
			if was, had := first[c.ID][n]; had && was != r {
				t.Fatalf("%s: the result of %s was %+v and is %+v", c.ID, n, was, r)
			}
			first[c.ID][n] = r
			delete(out, c.ID+" "+n)
		}
	}
	for _, s := range actions {
		inst, _ := host.m.Instance(s.Name)
		c := host.m.Command(inst.CommandID)
		if s.Kind != ActionNotify || c == nil || c.Kind != KindRollingUpdate || !inst.DesiredUp || inst.GiveUpReason != "" || s.Cause == "again" {
			continue
		}
		out[c.ID+" "+s.Name] = true
		many := 0
		for n := range out {
			if strings.HasPrefix(n, c.ID+" ") {
				many++
			}
		}
		if many > c.Rollout.MaxInProgress {
			t.Fatalf("%s: %d out, width %d: %v", c.ID, many, c.Rollout.MaxInProgress, out)
		}
		ready, wanted := 0, 0
		for _, n := range host.m.Names() {
			if o, _ := host.m.Instance(n); o.Group == inst.Group {
				if o.DesiredUp && !o.Spare {
					wanted++
				}
				if o.Phase == PhaseReady && o.DesiredUp && o.NoticeID == "" && !o.RestartPending {
					ready++
				}
			}
		}
		if before := host.fakes[s.Name]; before.ready && ready < c.Rollout.minReady(wanted) {
			t.Fatalf("%s takes %s out, and %d of %d stay ready: %+v", c.ID, s.Name, ready, wanted, c.Rollout)
		}
	}
}

// TestRejectedCommandChangesNothing: what can't be taken changes nothing.
func TestRejectedCommandChangesNothing(t *testing.T) {
	host := newHost(t, readTestSpec(t, twoInstances))
	host.m.config.MaxOpenCommands = 1
	if err := host.command("one", KindStart, 90*second, "a"); err != nil {
		t.Fatal(err)
	}
	if err := host.command("two", KindStart, 90*second, "b"); !errors.Is(err, ErrTooManyCommands) {
		t.Fatal(err)
	}
	if inst, _ := host.m.Instance("b"); inst.DesiredUp || inst.CommandID != "" {
		t.Fatalf("%+v", inst)
	}
}

// BenchmarkPlan is one planning step of a rolling update over all instances of a host, with nothing else to do.
func BenchmarkPlan(b *testing.B) {
	for _, n := range []int{60, 1000, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			bounds := limits.ForControl()
			bounds.Instances = n
			s, err := ReadSpec("f", []byte(groupsOf(4, n/4, 0, "(width 8) (least-share 0.5)")), bounds)
			if err != nil {
				b.Fatal(err)
			}
			m := New(s, "h1", testTerms(), window)
			for _, inst := range m.instances {
				inst.DesiredUp, inst.Phase, inst.Incarnation, inst.ReadySince = true, PhaseReady, "r", 1
			}
			c := &Command{ID: "w", Kind: KindRollingUpdate, Names: m.Names(), Deadline: 1 << 60, Rollout: &s.RollingUpdate}
			if _, _, err := m.Decide(1<<40, CommandReceived{c}); err != nil {
				b.Fatal(err)
			}
			c = m.openCommands[0]
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				name := c.Names[i%len(c.Names)] // as if it were back, so that the next may leave
				clear(c.InProgress)
				inst := m.instances[name]
				inst.RestartPending, inst.NoticeID, inst.Phase, inst.ReadySince = false, "", PhaseReady, 1
				delete(c.Results, name)
				m.advanceRollingUpdate(1<<41, c)
				m.actions, m.history = m.actions[:0], m.history[:0]
			}
		})
	}
}
