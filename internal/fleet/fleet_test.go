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
)

// told prints how a command stands.
func told(tr *fakes.Trace, w *world, id string) {
	c := w.m.Command(id)
	if c == nil {
		tr.Say("  %s: not known", id)
		return
	}
	tr.Say("  %s: %s %s", id, c.State, c.Cause)
	for _, n := range c.all() {
		in, _ := w.m.Instance(n)
		r, over := c.Results[n]
		tr.Say("    %s %s launched %d: %t %s %s", n, in.Phase, w.launch[n], over, r.Outcome, r.Cause)
	}
}

const two = `(fleet f (host h1 (agent "unix:/tmp/h1")) (group g (config "%n.json") (start-within 5s) (settle 1s)
	(restart (most 2) (within 20s)) (instances a b) (spares x)) (wave (least-share 0.5) (stall 10s)))`

// TestStories: what commands do in each kind of trouble, one after the other.
func TestStories(t *testing.T) {
	tr := fakes.NewTrace(t)
	story := func(what string) *world {
		tr.Say("%s", what)
		return newWorld(t, spec(t, two))
	}
	w := story("started, started again, drained")
	up(w)
	told(tr, w, "up")
	w.order("up2", Start, second, "a", "b")
	told(tr, w, "up2")
	w.order("down", Drain, 10*second, "a", "b")
	w.pass(4*second, nil)
	told(tr, w, "down")
	w.order("down2", Stop, 10*second, "a")
	told(tr, w, "down2")

	w = story("the same command twice, and another with its id")
	up(w)
	tr.Say("  %v", w.order("r", Restart, 20*second, "a"))
	tr.Say("  %v", w.order("r", Restart, 20*second, "a"))
	tr.Say("  %v", w.order("r", Drain, 20*second, "a"))
	w.pass(8*second, nil)
	tr.Say("  %v", w.order("r", Restart, 20*second, "a"))
	w.pass(8*second, nil)
	told(tr, w, "r")

	w = story("a later command supersedes an earlier one; what was told to leave leaves all the same")
	up(w)
	w.order("d", Drain, 10*second, "a", "b")
	w.pass(second/2, nil)
	w.order("s", Start, 10*second, "a")
	w.pass(6*second, nil)
	told(tr, w, "d")
	told(tr, w, "s")

	w = story("deaf to the notice")
	up(w)
	w.lives["a"].deaf = true
	w.order("d", Restart, 20*second, "a")
	w.pass(6*second, nil)
	told(tr, w, "d")

	w = story("dies by itself while draining")
	up(w)
	w.order("d", Drain, 10*second, "a")
	w.pass(second, nil)
	w.lives["a"].die(End{Code: -1, Signal: "killed", After: second})
	w.pass(second, nil)
	told(tr, w, "d")

	w = story("dies by itself again and again, until its launches are spent; asked for, it is tried anew")
	up(w)
	for range 6 {
		w.lives["a"].die(End{Code: 3})
		w.pass(3*second, nil)
	}
	told(tr, w, "up")
	w.order("again", Start, 10*second, "a")
	w.pass(2*second, nil)
	told(tr, w, "again")

	w = story("never ready")
	w.lives["a"].neverReady = true
	w.order("up", Start, 30*second, "a", "b")
	w.pass(12*second, nil)
	told(tr, w, "up")

	w = story("can't be launched")
	w.lose = func(s Step) bool { return s.What == Launch }
	w.order("up", Start, 30*second, "a")
	in, _ := w.m.Instance("a")
	w.do(StepFailed{"a", in.Step, "no such program", true})
	told(tr, w, "up")

	w = story("killed at once")
	up(w)
	w.do(Ordered{&Command{ID: "k", Kind: Stop, Names: []string{"a"}, By: "test", Due: w.now + 9*second, Now: true}})
	w.pass(second, nil)
	told(tr, w, "k")

	w = story("its keeper dies, with the notice given and lost; another takes over")
	up(w)
	w.lives["a"].keeper = false
	w.order("d", Drain, 20*second, "a")
	w.pass(second, nil)
	tr.Say("  keeper %t, told %t", w.lives["a"].keeper, w.lives["a"].told != "")
	w.pass(4*second, nil)
	told(tr, w, "d")

	w = story("no sign of it for the whole window: the agent kills it itself")
	up(w)
	w.lose = func(s Step) bool { return s.What == Tell }
	w.order("d", Drain, 20*second, "a")
	w.pass(6*second, nil)
	told(tr, w, "d")

	w = story("time is over before it can be seen; it leaves all the same")
	up(w)
	w.order("d", Drain, second, "a")
	w.pass(4*second, func(n string) bool { return n == "a" })
	told(tr, w, "d")
	tr.Say("  alive %t", w.lives["a"].alive)

	w = story("a wave over the wrong names, or with terms that none can go by")
	up(w)
	tr.Say("  %v", w.order("w", Wave, 60*second, "a", "x"))
	tr.Say("  %v", w.order("w", Wave, 60*second, "a", "a"))
	tr.Say("  %v", w.order("w", Wave, 60*second, "c"))
	tr.Say("  %v", w.order("w", Wave, 0, "a"))
	tr.Say("  %v", w.order("-w", Wave, second, "a"))
	w.spec.Wave.LeastCount = 2
	tr.Say("  %v", w.order("w", Wave, 60*second, "a"))
	w.spec.Wave.Surge = 1
	tr.Say("  %v", w.order("w", Wave, 60*second, "a", "b"))
	tr.Say("  %v", w.order("w2", Wave, 60*second, "a", "b"))
	w.pass(20*second, nil)
	told(tr, w, "w")

	w = story("a wave meets an instance that does not become ready, pauses, and goes on when told")
	up(w)
	w.lives["a"].neverReady = true
	w.order("w", Wave, 120*second, "a", "b")
	w.pass(15*second, nil)
	told(tr, w, "w")
	w.lives["a"].neverReady = false
	w.do(Steer{"w", "resume", "test"})
	w.pass(15*second, nil)
	told(tr, w, "w") // b may not leave: a is down, and half of two must stay ready
	w.order("a-up", Start, 20*second, "a")
	w.pass(4*second, nil)
	w.do(Steer{"w", "resume", "test"})
	w.pass(15*second, nil)
	told(tr, w, "w")

	w = story("a wave is cancelled: what is out comes back, the rest stays")
	up(w)
	w.order("w", Wave, 120*second, "a", "b")
	w.pass(second, nil)
	tr.Say("  %v, %v, %v", w.do(Steer{"w", "cancel", "test"}), w.do(Steer{"v", "cancel", "test"}), w.do(Steer{"up", "cancel", "test"}))
	w.pass(6*second, nil)
	told(tr, w, "w")

	w = story("an instance that is drained by hand leaves the wave, which waits for its budget")
	up(w)
	w.order("w", Wave, 120*second, "a", "b")
	w.pass(second, nil)
	w.order("d", Drain, 20*second, "b")
	w.pass(9*second, nil)
	told(tr, w, "w")
	told(tr, w, "d")

	w = story("an instance tells of its level of reduced service; the history has it, once a change")
	up(w)
	for _, level := range []string{"full", "full", "no-reprints", "no-reprints", "full"} {
		_, notes, _ := w.m.Decide(w.now, Sighted{"a", Sight{Run: w.lives["a"].run, Phase: Ready, Level: level, Why: "queue 2"}})
		for _, n := range notes {
			tr.Say("  %s %s, %s", n.Name, n.Event, n.Cause)
		}
	}

	w = story("service falls while a wave rolls")
	w.spec.Wave.TurnedAway = 0.5
	up(w)
	w.order("w", Wave, 120*second, "a", "b")
	for n := range 80 {
		w.pass(second/10, func(n string) bool { return n == "b" })
		w.do(Sighted{"b", Sight{Run: w.lives["b"].run, Phase: Ready, Picked: 100 * n, Turned: 80 * n}})
	}
	told(tr, w, "w")
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
	s := spec(t, groupsOf(2, 2, 1, ""))
	for _, q := range []Selection{
		{}, {All: true}, {Groups: []string{"g1"}}, {Names: []string{"g0-s1", "g1-n2"}}, {Names: []string{"nobody"}}, {Hosts: []string{"h1"}},
	} {
		all, err := s.Select(q)
		var names []string
		for _, in := range all {
			names = append(names, in.Name)
		}
		tr.Say("%+v: %v %v", q, names, err)
	}
	steps, err := Preview(s, "h1", []string{"g0-n1", "g0-n2", "g1-n1"}, WaveTerms{Width: 2, LeastShare: 0.5, Order: "spread", Stall: 1, TurnedAway: 1})
	tr.Say("%+v %v", steps, err)
	_, err = Preview(s, "h1", []string{"g0-n1"}, WaveTerms{Width: 2, LeastShare: 1, Order: "file", Stall: 1, TurnedAway: 1})
	tr.Say("%v", err)
}

// TestTour: what goes wrong on one host does not go on to the next, and the fleet's budget holds over all.
func TestTour(t *testing.T) {
	tr := fakes.NewTrace(t)
	tour := &Tour{Hosts: []string{"a", "b", "c"}, Terms: WaveTerms{LeastShare: 0.8, Stall: 10}, Abreast: 2}
	fact := func(s State) HostFact { return HostFact{Reached: true, State: s, Ready: 10, Up: 10, Takes: 3} }
	for _, f := range []map[string]HostFact{
		{"a": fact(""), "b": fact(""), "c": fact("")},
		{"a": fact(Open), "b": fact(Open), "c": fact("")},
		{"a": fact(Done), "b": fact(Open), "c": fact("")},
		{"a": fact(Done), "b": fact(Done), "c": fact(Done)},
		{"a": fact(Done), "b": fact(Paused), "c": fact("")},
		{"a": {Reached: true, State: Done, Failed: true, Cause: "n3"}, "b": fact(""), "c": fact("")},
		{"a": {}, "b": fact(""), "c": fact("")},
		{"a": {Reached: true, Ready: 6, Up: 10, Takes: 3}, "b": {Reached: true, Ready: 8, Up: 10, Takes: 3}, "c": fact("")},
	} {
		tr.Say("%+v", tour.Next(100, f))
	}
	tr.Say("and after the stall: %+v", tour.Next(110, map[string]HostFact{"a": {Reached: true, Ready: 6, Up: 10, Takes: 3}, "b": fact(""), "c": fact("")}))
}

// TestBudgets: pauses grow, have jitter and an end; tries are bounded.
func TestBudgets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := Backoff{Micros(rapid.IntRange(2, 1000).Draw(t, "least")), 0}
		b.Most = b.Least * Micros(rapid.IntRange(1, 100).Draw(t, "most"))
		n := rapid.IntRange(0, 80).Draw(t, "n")
		p := b.Pause(n, drawn(rapid.Uint64().Draw(t, "seed")))
		if n <= 1 && p != 0 || n > 1 && (p < b.Least/2 || p > b.Most) {
			t.Fatalf("pause %d before try %d of %+v", p, n, b)
		}
		budget, now := Budget{Most: rapid.IntRange(0, 5).Draw(t, "tries"), Within: 100}, Micros(0)
		var taken []Micros
		for range 50 {
			now += Micros(rapid.IntRange(0, 60).Draw(t, "step"))
			if budget.Take(now) {
				taken = append(taken, now)
			}
			if in := len(slices.DeleteFunc(slices.Clone(taken), func(at Micros) bool { return now-at >= 100 })); in > budget.Most {
				t.Fatalf("%d taken within the span, at most %d", in, budget.Most)
			}
		}
		var r RetryShare
		again := 0
		for range 1000 {
			r.First()
			for r.Again() {
				again++
			}
		}
		if again > 120 {
			t.Fatalf("%d further tries on 1000", again)
		}
	})
}

// TestInterleavings: whatever comes in whatever order, never more is out than the budget, no life is told twice
// or begun beside another, none told to leave is without a time limit, results never change, and every command
// ends with exactly one an instance.
func TestInterleavings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		groups, each := rapid.IntRange(1, 2).Draw(t, "groups"), rapid.IntRange(1, 4).Draw(t, "each")
		spares := rapid.IntRange(0, 1).Draw(t, "spares")
		wave := fmt.Sprintf("(width %d) (least-share %v) (surge %d) (failures %d) (stall 8s) (order %s)",
			rapid.IntRange(1, 3).Draw(t, "width"), rapid.SampledFrom([]float64{0, 0.5, 0.75, 1}).Draw(t, "least"),
			spares, rapid.IntRange(0, 2).Draw(t, "failures"), rapid.SampledFrom([]string{"file", "name", "spread"}).Draw(t, "order"))
		w := newWorld(t, spec(t, groupsOf(groups, each, spares, wave)))
		rnd := drawn(rapid.Uint64().Draw(t, "seed"))
		first := map[string]map[string]Result{}
		out := map[string]bool{}
		w.check = func(steps []Step) { invariants(t, w, steps, first, out) }
		w.lose = func(Step) bool { return rnd.IntN(10) == 0 }
		blind := func(string) bool { return rnd.IntN(5) == 0 }
		up(w)
		orders := 0
		names := w.m.Names()
		t.Repeat(map[string]func(*rapid.T){
			"order": func(t *rapid.T) {
				kind := rapid.SampledFrom([]Kind{Start, Drain, Stop, Restart, Wave, Wave}).Draw(t, "kind")
				some := rapid.SliceOfNDistinct(rapid.SampledFrom(names), 1, -1, rapid.ID).Draw(t, "names")
				orders++
				w.order(fmt.Sprint("c", orders), kind, Micros(rapid.IntRange(1, 60).Draw(t, "due"))*second, some...)
			},
			"steer": func(t *rapid.T) {
				verb := rapid.SampledFrom([]string{"pause", "resume", "cancel"}).Draw(t, "verb")
				w.do(Steer{fmt.Sprint("c", rapid.IntRange(1, orders+1).Draw(t, "id")), verb, "test"})
			},
			"die": func(t *rapid.T) {
				l := w.lives[rapid.SampledFrom(names).Draw(t, "name")]
				if l.alive {
					l.die(End{Code: 1})
				}
			},
			"keeper dies": func(t *rapid.T) { w.lives[rapid.SampledFrom(names).Draw(t, "name")].keeper = false },
			"deaf": func(t *rapid.T) {
				l := w.lives[rapid.SampledFrom(names).Draw(t, "name")]
				l.deaf = !l.deaf
			},
			"ill": func(t *rapid.T) {
				l := w.lives[rapid.SampledFrom(names).Draw(t, "name")]
				l.neverReady = !l.neverReady
			},
			"late word": func(t *rapid.T) { // of a life that is over, or that has no more to say
				for _, s := range w.old {
					if l := w.lives[s.Name]; s.Sight.Run != l.run && rnd.IntN(3) == 0 {
						w.do(s)
					}
				}
				w.old = nil
			},
			"agent dies":      func(t *rapid.T) { w.restart() },
			"agent dies next": func(t *rapid.T) { w.dieNext = true },
			"clock jumps":     func(t *rapid.T) { w.now += Micros(rapid.IntRange(0, 30).Draw(t, "jump")) * second },
			"time":            func(t *rapid.T) { w.pass(Micros(rapid.IntRange(1, 40).Draw(t, "span"))*100_000, blind) },
		})
		w.lose, w.dieNext = nil, false
		w.pass(90*second, nil)
		for _, c := range w.m.Commands() {
			if c.State != Done || len(c.Results) != len(c.Names)+len(c.Spares) {
				t.Fatalf("%s has not ended: %+v", c.ID, c)
			}
		}
		for _, n := range names {
			if in, _ := w.m.Instance(n); !in.Up && w.lives[n].alive {
				t.Fatalf("%s is not wanted and lives: %+v", n, in)
			}
		}
	})
}

func invariants(t *rapid.T, w *world, steps []Step, first map[string]map[string]Result, out map[string]bool) {
	for _, n := range w.m.Names() {
		in, _ := w.m.Instance(n)
		if in.Told != "" && in.Deadline == 0 {
			t.Fatalf("%s was told to leave and has no time limit: %+v", n, in)
		}
		if in.Run == "" && !in.Phase.Down() {
			t.Fatalf("%s is %s without a life", n, in.Phase)
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
	for _, s := range steps {
		in, _ := w.m.Instance(s.Name)
		c := w.m.Command(in.Task)
		if s.What != Tell || c == nil || c.Kind != Wave || !in.Up || in.GaveUp != "" || s.Cause == "again" {
			continue
		}
		out[c.ID+" "+s.Name] = true
		many := 0
		for n := range out {
			if strings.HasPrefix(n, c.ID+" ") {
				many++
			}
		}
		if many > c.Terms.Width {
			t.Fatalf("%s: %d out, width %d: %v", c.ID, many, c.Terms.Width, out)
		}
		ready, wanted := 0, 0
		for _, n := range w.m.Names() {
			if o, _ := w.m.Instance(n); o.Group == in.Group {
				if o.Up && !o.Spare {
					wanted++
				}
				if o.Phase == Ready && o.Up && o.Told == "" && !o.Recycle {
					ready++
				}
			}
		}
		if before := w.lives[s.Name]; before.ready && ready < c.Terms.least(wanted) {
			t.Fatalf("%s takes %s out, and %d of %d stay ready: %+v", c.ID, s.Name, ready, wanted, c.Terms)
		}
	}
}

// TestRefusals: what can't be taken changes nothing.
func TestRefusals(t *testing.T) {
	w := newWorld(t, spec(t, two))
	w.m.terms.Open = 1
	if err := w.order("one", Start, 90*second, "a"); err != nil {
		t.Fatal(err)
	}
	if err := w.order("two", Start, 90*second, "b"); !errors.Is(err, ErrFull) {
		t.Fatal(err)
	}
	if in, _ := w.m.Instance("b"); in.Up || in.Task != "" {
		t.Fatalf("%+v", in)
	}
}

// BenchmarkPlan is one planning step of a wave over all instances of a host, with nothing else to do.
func BenchmarkPlan(b *testing.B) {
	for _, n := range []int{60, 1000, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			bounds := limits.ForControl()
			bounds.Names = n
			s, err := ReadSpec("f", []byte(groupsOf(4, n/4, 0, "(width 8) (least-share 0.5)")), bounds)
			if err != nil {
				b.Fatal(err)
			}
			m := New(s, "h1", testTerms(), window)
			for _, in := range m.instances {
				in.Up, in.Phase, in.Run, in.Steady = true, Ready, "r", 1
			}
			c := &Command{ID: "w", Kind: Wave, Names: m.Names(), Due: 1 << 60, Terms: &s.Wave}
			if _, _, err := m.Decide(1<<40, Ordered{c}); err != nil {
				b.Fatal(err)
			}
			c = m.open[0]
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				name := c.Names[i%len(c.Names)] // as if it were back, so that the next may leave
				clear(c.Out)
				in := m.instances[name]
				in.Recycle, in.Told, in.Phase, in.Steady = false, "", Ready, 1
				delete(c.Results, name)
				m.roll(1<<41, c)
				m.steps, m.notes = m.steps[:0], m.notes[:0]
			}
		})
	}
}
