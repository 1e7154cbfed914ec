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
func reportCommand(tr *fakes.Trace, w *simulatedHost, id string) {
	c := w.m.Command(id)
	if c == nil {
		tr.Say("  %s: not known", id)
		return
	}
	tr.Say("  %s: %s %s", id, c.State, c.Cause)
	for _, n := range c.instanceNames() {
		in, _ := w.m.Instance(n)
		r, over := c.Results[n]
		tr.Say("    %s %s launched %d: %t %s %s", n, in.Phase, w.launches[n], over, r.Outcome, r.Cause)
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
	w := story("started, started again, drained")
	startAll(w)
	reportCommand(tr, w, "up")
	w.mustCommand("up2", KindStart, second, "a", "b")
	reportCommand(tr, w, "up2")
	w.mustCommand("down", KindDrain, 10*second, "a", "b")
	w.advance(4*second, nil)
	reportCommand(tr, w, "down")
	w.mustCommand("down2", KindStop, 10*second, "a")
	reportCommand(tr, w, "down2")

	w = story("the same command twice, and another with its id")
	startAll(w)
	tr.Say("  %v", w.command("r", KindRestart, 20*second, "a"))
	tr.Say("  %v", w.command("r", KindRestart, 20*second, "a"))
	tr.Say("  %v", w.command("r", KindDrain, 20*second, "a"))
	w.advance(8*second, nil)
	tr.Say("  %v", w.command("r", KindRestart, 20*second, "a"))
	w.advance(8*second, nil)
	reportCommand(tr, w, "r")

	w = story("a later command supersedes an earlier one; what was told to leave leaves all the same")
	startAll(w)
	w.mustCommand("d", KindDrain, 10*second, "a", "b")
	w.advance(second/2, nil)
	w.mustCommand("s", KindStart, 10*second, "a")
	w.advance(6*second, nil)
	reportCommand(tr, w, "d")
	reportCommand(tr, w, "s")

	w = story("deaf to the notice")
	startAll(w)
	w.fakes["a"].unresponsive = true
	w.mustCommand("d", KindRestart, 20*second, "a")
	w.advance(6*second, nil)
	reportCommand(tr, w, "d")

	w = story("dies by itself while draining")
	startAll(w)
	w.mustCommand("d", KindDrain, 10*second, "a")
	w.advance(second, nil)
	w.fakes["a"].exit(Exit{Code: -1, Signal: "killed", DrainTime: second})
	w.advance(second, nil)
	reportCommand(tr, w, "d")

	w = story("dies by itself again and again, until its launches are spent; asked for, it is tried anew")
	startAll(w)
	for range 6 {
		w.fakes["a"].exit(Exit{Code: 3})
		w.advance(3*second, nil)
	}
	reportCommand(tr, w, "up")
	w.mustCommand("again", KindStart, 10*second, "a")
	w.advance(2*second, nil)
	reportCommand(tr, w, "again")

	w = story("never ready")
	w.fakes["a"].neverReady = true
	w.mustCommand("up", KindStart, 30*second, "a", "b")
	w.advance(12*second, nil)
	reportCommand(tr, w, "up")

	w = story("can't be launched")
	w.dropAction = func(s Action) bool { return s.Kind == ActionLaunch }
	w.mustCommand("up", KindStart, 30*second, "a")
	in, _ := w.m.Instance("a")
	w.mustApply(ActionFailed{"a", in.ActionID, "no such program", true})
	reportCommand(tr, w, "up")

	w = story("killed at once")
	startAll(w)
	w.mustApply(CommandReceived{&Command{ID: "k", Kind: KindStop, Names: []string{"a"}, RequestedBy: "test", Deadline: w.now + 9*second, Immediate: true}})
	w.advance(second, nil)
	reportCommand(tr, w, "k")

	w = story("its keeper dies, with the notice given and lost; another takes over")
	startAll(w)
	w.fakes["a"].supervised = false
	w.mustCommand("d", KindDrain, 20*second, "a")
	w.advance(second, nil)
	tr.Say("  keeper %t, told %t", w.fakes["a"].supervised, w.fakes["a"].noticeID != "")
	w.advance(4*second, nil)
	reportCommand(tr, w, "d")

	w = story("no sign of it for the whole window: the agent kills it itself")
	startAll(w)
	w.dropAction = func(s Action) bool { return s.Kind == ActionNotify }
	w.mustCommand("d", KindDrain, 20*second, "a")
	w.advance(6*second, nil)
	reportCommand(tr, w, "d")

	w = story("time is over before it can be seen; it leaves all the same")
	startAll(w)
	w.mustCommand("d", KindDrain, second, "a")
	w.advance(4*second, func(n string) bool { return n == "a" })
	reportCommand(tr, w, "d")
	tr.Say("  alive %t", w.fakes["a"].alive)

	w = story("a wave over the wrong names, or with terms that none can go by")
	startAll(w)
	tr.Say("  %v", w.command("w", KindRollingUpdate, 60*second, "a", "x"))
	tr.Say("  %v", w.command("w", KindRollingUpdate, 60*second, "a", "a"))
	tr.Say("  %v", w.command("w", KindRollingUpdate, 60*second, "c"))
	tr.Say("  %v", w.command("w", KindRollingUpdate, 0, "a"))
	tr.Say("  %v", w.command("-w", KindRollingUpdate, second, "a"))
	w.spec.RollingUpdate.MinReady = 2
	tr.Say("  %v", w.command("w", KindRollingUpdate, 60*second, "a"))
	w.spec.RollingUpdate.Surge = 1
	tr.Say("  %v", w.command("w", KindRollingUpdate, 60*second, "a", "b"))
	tr.Say("  %v", w.command("w2", KindRollingUpdate, 60*second, "a", "b"))
	w.advance(20*second, nil)
	reportCommand(tr, w, "w")

	w = story("a wave meets an instance that does not become ready, pauses, and goes on when told")
	startAll(w)
	w.fakes["a"].neverReady = true
	w.mustCommand("w", KindRollingUpdate, 120*second, "a", "b")
	w.advance(15*second, nil)
	reportCommand(tr, w, "w")
	w.fakes["a"].neverReady = false
	w.mustApply(CommandControl{"w", "resume", "test"})
	w.advance(15*second, nil)
	reportCommand(tr, w, "w") // b may not leave: a is down, and half of two must stay ready
	w.mustCommand("a-up", KindStart, 20*second, "a")
	w.advance(4*second, nil)
	w.mustApply(CommandControl{"w", "resume", "test"})
	w.advance(15*second, nil)
	reportCommand(tr, w, "w")

	w = story("a wave is cancelled: what is out comes back, the rest stays")
	startAll(w)
	w.mustCommand("w", KindRollingUpdate, 120*second, "a", "b")
	w.advance(second, nil)
	tr.Say("  %v, %v, %v", w.apply(CommandControl{"w", "cancel", "test"}), w.apply(CommandControl{"v", "cancel", "test"}), w.apply(CommandControl{"up", "cancel", "test"}))
	w.advance(6*second, nil)
	reportCommand(tr, w, "w")

	w = story("an instance that is drained by hand leaves the wave, which waits for its budget")
	startAll(w)
	w.mustCommand("w", KindRollingUpdate, 120*second, "a", "b")
	w.advance(second, nil)
	w.mustCommand("d", KindDrain, 20*second, "b")
	w.advance(9*second, nil)
	reportCommand(tr, w, "w")
	reportCommand(tr, w, "d")

	w = story("an instance tells of its level of reduced service; the history has it, once a change")
	startAll(w)
	for _, level := range []string{"full", "full", "no-reprints", "no-reprints", "full"} {
		_, notes, _ := w.m.Decide(w.now, InstanceObserved{Name: "a", Observation: Observation{Incarnation: w.fakes["a"].incarnation, Phase: PhaseReady, Level: level, LevelCause: "queue 2"}})
		for _, n := range notes {
			tr.Say("  %s %s, %s", n.Name, n.Event, n.Cause)
		}
	}

	w = story("service falls while a wave rolls")
	w.spec.RollingUpdate.MaxRejectedShare = 0.5
	startAll(w)
	w.mustCommand("w", KindRollingUpdate, 120*second, "a", "b")
	for n := range 80 {
		w.advance(second/10, func(n string) bool { return n == "b" })
		w.mustApply(InstanceObserved{Name: "b", Observation: Observation{Incarnation: w.fakes["b"].incarnation, Phase: PhaseReady, Invocations: 100 * n, Rejected: 80 * n}})
	}
	reportCommand(tr, w, "w")
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
		for _, in := range all {
			names = append(names, in.Name)
		}
		tr.Say("%+v: %v %v", q, names, err)
	}
	steps, err := Preview(s, "h1", []string{"g0-n1", "g0-n2", "g1-n1"}, RollingUpdateConfig{MaxInProgress: 2, MinReadyShare: 0.5, Order: "spread", StallTimeout: 1, MaxRejectedShare: 1})
	tr.Say("%v %v", planText(steps), err)
	_, err = Preview(s, "h1", []string{"g0-n1"}, RollingUpdateConfig{MaxInProgress: 2, MinReadyShare: 1, Order: "file", StallTimeout: 1, MaxRejectedShare: 1})
	tr.Say("%v", err)
}

// TestRolloutCoordinator: what goes wrong on one host does not go on to the next, and the fleet's budget holds over all.
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
			if in := len(slices.DeleteFunc(slices.Clone(taken), func(at monotime.Micros) bool { return now-at >= 100 })); in > budget.MaxAttempts {
				t.Fatalf("%d taken within the window, at most %d", in, budget.MaxAttempts)
			}
		}
	})
}

// TestInterleavings: whatever comes in whatever order, never more is in progress than allowed, no incarnation is notified
// twice or launched beside another, none that was notified is without a deadline, results never change, and every command
// ends with exactly one an instance.
func TestInterleavings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		groups, each := rapid.IntRange(1, 2).Draw(t, "groups"), rapid.IntRange(1, 4).Draw(t, "each")
		spares := rapid.IntRange(0, 1).Draw(t, "spares")
		update := fmt.Sprintf("(width %d) (least-share %v) (surge %d) (failures %d) (stall 8s) (order %s)",
			rapid.IntRange(1, 3).Draw(t, "width"), rapid.SampledFrom([]float64{0, 0.5, 0.75, 1}).Draw(t, "least"),
			spares, rapid.IntRange(0, 2).Draw(t, "failures"), rapid.SampledFrom([]string{"file", "name", "spread"}).Draw(t, "order"))
		w := newHost(t, readTestSpec(t, groupsOf(groups, each, spares, update)))
		rnd := newRandom(rapid.Uint64().Draw(t, "seed"))
		first := map[string]map[string]Result{}
		out := map[string]bool{}
		w.check = func(actions []Action) { checkInvariants(t, w, actions, first, out) }
		w.dropAction = func(Action) bool { return rnd.IntN(10) == 0 }
		blind := func(string) bool { return rnd.IntN(5) == 0 }
		startAll(w)
		orders := 0
		names := w.m.Names()
		t.Repeat(map[string]func(*rapid.T){
			"order": func(t *rapid.T) {
				kind := rapid.SampledFrom([]CommandKind{KindStart, KindDrain, KindStop, KindRestart, KindRollingUpdate, KindRollingUpdate}).Draw(t, "kind")
				some := rapid.SliceOfNDistinct(rapid.SampledFrom(names), 1, -1, rapid.ID).Draw(t, "names")
				orders++
				_ = w.command(fmt.Sprint("c", orders), kind, monotime.Micros(rapid.IntRange(1, 60).Draw(t, "due"))*second, some...)
			},
			"steer": func(t *rapid.T) {
				verb := rapid.SampledFrom([]Verb{VerbPause, VerbResume, VerbCancel}).Draw(t, "verb")
				_ = w.apply(CommandControl{fmt.Sprint("c", rapid.IntRange(1, orders+1).Draw(t, "id")), verb, "test"})
			},
			"die": func(t *rapid.T) {
				l := w.fakes[rapid.SampledFrom(names).Draw(t, "name")]
				if l.alive {
					l.exit(Exit{Code: 1})
				}
			},
			"supervisor dies": func(t *rapid.T) { w.fakes[rapid.SampledFrom(names).Draw(t, "name")].supervised = false },
			"unresponsive": func(t *rapid.T) {
				l := w.fakes[rapid.SampledFrom(names).Draw(t, "name")]
				l.unresponsive = !l.unresponsive
			},
			"never ready": func(t *rapid.T) {
				l := w.fakes[rapid.SampledFrom(names).Draw(t, "name")]
				l.neverReady = !l.neverReady
			},
			"late observation": func(*rapid.T) { // of an incarnation that is over
				for _, s := range w.pastObservations {
					if l := w.fakes[s.Name]; s.Observation.Incarnation != l.incarnation && rnd.IntN(3) == 0 {
						_ = w.apply(s)
					}
				}
				w.pastObservations = nil
			},
			"agent dies":      func(*rapid.T) { w.restart() },
			"agent dies next": func(*rapid.T) { w.crashNext = true },
			"clock jumps":     func(t *rapid.T) { w.now += monotime.Micros(rapid.IntRange(0, 30).Draw(t, "jump")) * second },
			"time":            func(t *rapid.T) { w.advance(monotime.Micros(rapid.IntRange(1, 40).Draw(t, "span"))*100_000, blind) },
		})
		w.dropAction, w.crashNext = nil, false
		w.advance(90*second, nil)
		for _, c := range w.m.Commands() {
			if c.State != CommandDone || len(c.Results) != len(c.Names)+len(c.Spares) {
				t.Fatalf("%s has not ended: %+v", c.ID, c)
			}
		}
		for _, n := range names {
			if in, _ := w.m.Instance(n); !in.DesiredUp && w.fakes[n].alive {
				t.Fatalf("%s is not desired up and runs: %+v", n, in)
			}
		}
	})
}

// checkInvariants holds the actions and the state after them against what must be true at all times.
func checkInvariants(t *rapid.T, w *simulatedHost, actions []Action, first map[string]map[string]Result, out map[string]bool) {
	for _, n := range w.m.Names() {
		in, _ := w.m.Instance(n)
		if in.NoticeID != "" && in.PhaseDeadline == 0 {
			t.Fatalf("%s was notified and has no deadline: %+v", n, in)
		}
		if in.Incarnation == "" && !in.Phase.Down() {
			t.Fatalf("%s is %s without an incarnation", n, in.Phase)
		}
	}
	for _, c := range w.m.Commands() {
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
		in, _ := w.m.Instance(s.Name)
		c := w.m.Command(in.CommandID)
		if s.Kind != ActionNotify || c == nil || c.Kind != KindRollingUpdate || !in.DesiredUp || in.GiveUpReason != "" || s.Cause == "again" {
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
		for _, n := range w.m.Names() {
			if o, _ := w.m.Instance(n); o.Group == in.Group {
				if o.DesiredUp && !o.Spare {
					wanted++
				}
				if o.Phase == PhaseReady && o.DesiredUp && o.NoticeID == "" && !o.RestartPending {
					ready++
				}
			}
		}
		if before := w.fakes[s.Name]; before.ready && ready < c.Rollout.minReady(wanted) {
			t.Fatalf("%s takes %s out, and %d of %d stay ready: %+v", c.ID, s.Name, ready, wanted, c.Rollout)
		}
	}
}

// TestRejectedCommandChangesNothing: what can't be taken changes nothing.
func TestRejectedCommandChangesNothing(t *testing.T) {
	w := newHost(t, readTestSpec(t, twoInstances))
	w.m.config.MaxOpenCommands = 1
	if err := w.command("one", KindStart, 90*second, "a"); err != nil {
		t.Fatal(err)
	}
	if err := w.command("two", KindStart, 90*second, "b"); !errors.Is(err, ErrTooManyCommands) {
		t.Fatal(err)
	}
	if in, _ := w.m.Instance("b"); in.DesiredUp || in.CommandID != "" {
		t.Fatalf("%+v", in)
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
			for _, in := range m.instances {
				in.DesiredUp, in.Phase, in.Incarnation, in.ReadySince = true, PhaseReady, "r", 1
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
				in := m.instances[name]
				in.RestartPending, in.NoticeID, in.Phase, in.ReadySince = false, "", PhaseReady, 1
				delete(c.Results, name)
				m.advanceRollingUpdate(1<<41, c)
				m.actions, m.history = m.actions[:0], m.history[:0]
			}
		})
	}
}
