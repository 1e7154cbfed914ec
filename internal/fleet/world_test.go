package fleet

import (
	"fmt"
	"math/rand/v2"

	"milletbarrow/internal/limits"
)

const second = Micros(1_000_000)

// life is an instance as it really is, whatever the machine has seen of it.
type life struct {
	alive, keeper, ready, deaf bool
	run, told                  string
	since, toldAt              Micros
	end                        Exit
	neverReady                 bool
}

// tester is a test or a property under test.
type tester interface {
	Helper()
	Fatal(...any)
	Fatalf(string, ...any)
}

// world stands in for keepers and instances. Every step is taken once by its id, as keepers do.
type world struct {
	t       tester
	m       *Machine
	spec    *Spec
	now     Micros
	lives   map[string]*life
	taken   map[string]bool
	saved   Snapshot // what was written down
	launch  map[string]int
	lose    func(Action) bool // the step does not reach its keeper
	check   func([]Action)
	cold    Micros
	dieNext bool // the agent dies between writing down and acting
	host    string
	old     []InstanceObserved // what was seen before, some of it of lives that are over
}

func spec(t tester, text string) *Spec {
	s, err := ReadSpec("fleet.sx", []byte(text), limits.ForControl())
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func window(*InstanceSpec) ShutdownWindow { return ShutdownWindow{2 * second, 3200_000} }

func testTerms() Config {
	return DefaultConfig(limits.ForControl(), 7)
}

func newWorld(t tester, s *Spec) *world {
	return newWorldAt(t, s, "h1")
}

func newWorldAt(t tester, s *Spec, host string) *world {
	w := &world{
		t: t, spec: s, host: host, now: 1000 * second, lives: map[string]*life{}, taken: map[string]bool{}, launch: map[string]int{},
		cold: second / 2,
	}
	w.m = New(s, host, testTerms(), window)
	for _, n := range w.m.Names() {
		w.lives[n] = &life{}
	}
	return w
}

// do hands the machine an event, writes down what it must, and takes the steps.
func (w *world) do(ev Event) error {
	steps, _, err := w.m.Decide(w.now, ev)
	steps = append([]Action(nil), steps...)
	w.save()
	if w.check != nil {
		w.check(steps)
	}
	if w.dieNext {
		w.dieNext = false
		w.restart()
		return err
	}
	for _, s := range steps {
		if w.lose == nil || !w.lose(s) {
			w.take(s)
		}
	}
	return err
}

func (w *world) save() {
	r, dropped := w.m.Changes()
	for _, in := range r.Instances {
		w.saved.Instances = put(w.saved.Instances, in, func(i Instance) string { return i.Name })
	}
	for _, c := range r.Commands {
		w.saved.Commands = put(w.saved.Commands, c, func(c *Command) string { return c.ID })
	}
	for _, id := range dropped {
		for i, c := range w.saved.Commands {
			if c.ID == id {
				w.saved.Commands = append(w.saved.Commands[:i], w.saved.Commands[i+1:]...)
				break
			}
		}
	}
}

func put[T any](all []T, v T, key func(T) string) []T {
	for i := range all {
		if key(all[i]) == key(v) {
			all[i] = v
			return all
		}
	}
	return append(all, v)
}

// restart is the agent's death and return: what was not written down is lost.
func (w *world) restart() {
	w.m = New(w.spec, w.host, testTerms(), window)
	w.m.Restore(w.now, Snapshot{w.saved.Instances, w.saved.Commands}, false)
}

func (w *world) take(s Action) {
	l := w.lives[s.Name]
	if w.taken[s.ID] {
		return
	}
	switch s.Kind {
	case ActionLaunch:
		w.taken[s.ID] = true
		if s.Adopt {
			if l.alive && l.run == s.Incarnation {
				l.keeper = true
			}
			return
		}
		if l.alive {
			w.t.Fatalf("%s is launched by %s while its life %s goes on", s.Name, s.ID, l.run)
		}
		w.launch[s.Name]++
		*l = life{alive: true, keeper: true, run: s.Incarnation, since: w.now, deaf: l.deaf, neverReady: l.neverReady}
	case ActionNotify:
		if l.run != s.Incarnation || !l.alive || !l.keeper {
			return // nobody to take it; it comes again
		}
		w.taken[s.ID] = true
		if l.told != "" && l.told != s.ID {
			w.t.Fatalf("%s was told by %s and again by %s in one life", s.Name, l.told, s.ID)
		}
		l.told, l.toldAt = s.ID, w.now
	case ActionKill:
		if l.run == s.Incarnation && l.alive {
			w.taken[s.ID] = true
			l.die(Exit{Code: -1, KillReason: s.Cause})
		}
	}
}

func (l *life) die(e Exit) {
	l.alive, l.ready, l.end = false, false, e
}

// pass lets time go by and shows the machine what is to be seen, but for what blind hides.
func (w *world) pass(span Micros, blind func(string) bool) {
	for end := w.now + span; w.now < end; {
		w.now += min(end-w.now, 100_000)
		for _, n := range w.m.Names() {
			l := w.lives[n]
			l.live(w.now, w.cold)
			if l.run == "" || blind != nil && blind(n) {
				continue
			}
			s := InstanceObserved{n, l.sight(w.now)}
			if len(w.old) < 200 {
				w.old = append(w.old, s)
			}
			w.do(s)
		}
		w.do(Tick{})
	}
}

func (l *life) live(now, cold Micros) {
	if !l.alive {
		return
	}
	l.ready = l.told == "" && !l.neverReady && now-l.since >= cold
	if l.told == "" {
		return
	}
	switch after := now - l.toldAt; {
	case l.deaf && l.keeper && after >= 2*second:
		l.die(Exit{Code: -1, KillReason: "deaf", DrainTime: after})
	case !l.deaf && after >= 2500_000:
		l.die(Exit{DrainTime: after})
	}
}

func (l *life) sight(now Micros) Observation {
	s := Observation{Incarnation: l.run, NoticeID: l.told}
	switch {
	case !l.alive:
		s.Phase, s.Exit = PhaseExited, l.end
	case !l.keeper:
		s.Phase, s.Orphaned, s.Cause = PhaseUnknown, true, "its keeper is gone"
		s.NoticeID = ""
	case l.told != "" && l.deaf:
		s.Phase = PhaseUnresponsive
	case l.told != "" && now-l.toldAt < 2*second:
		s.Phase = PhaseDraining
	case l.told != "":
		s.Phase = PhaseStopping
	case l.ready:
		s.Phase = PhaseReady
	default:
		s.Phase = PhaseStarting
	}
	return s
}

func (w *world) order(id string, kind CommandKind, within Micros, names ...string) error {
	c := &Command{ID: id, Kind: kind, Names: names, RequestedBy: "test", Deadline: w.now + within}
	switch kind {
	case KindRollingUpdate:
		terms := w.spec.RollingUpdate
		c.Rollout = &terms
	case KindColdStart:
		c.Quota = w.spec.ColdStartQuota
	}
	return w.do(CommandReceived{c})
}

// groupsOf writes a fleet of some groups of so many instances on one host.
func groupsOf(groups, each, spares int, wave string) string {
	text := `(fleet f (host h1 (agent "unix:/tmp/h1"))`
	for g := range groups {
		text += fmt.Sprintf(` (group g%d (config "%%n.json") (start-within 5s) (settle 1s) (range g%d-n 1 %d)`, g, g, each)
		if spares > 0 {
			text += " (spares"
			for s := range spares {
				text += fmt.Sprintf(" g%d-s%d", g, s+1)
			}
			text += ")"
		}
		text += ")"
	}
	return text + " (wave " + wave + "))"
}

func up(w *world) {
	w.order("up", KindStart, 60*second, w.nonSpares()...)
	w.pass(3*second, nil)
}

func (w *world) nonSpares() (names []string) {
	for _, n := range w.m.Names() {
		if in, _ := w.m.Instance(n); !in.Spare {
			names = append(names, n)
		}
	}
	return names
}

func drawn(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 1)) }
