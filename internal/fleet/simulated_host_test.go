package fleet

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"milletbarrow/internal/limits"
	"milletbarrow/monotime"
)

const second = monotime.Micros(1_000_000)

// fakeInstance is an instance as it really is, whatever the machine has seen of it.
type fakeInstance struct {
	alive, supervised, ready, unresponsive bool
	incarnation, noticeID                  string
	since, notifiedAt                      monotime.Micros
	exitState                              Exit
	neverReady                             bool
}

// tester is a test or a property under test.
type tester interface {
	Helper()
	Fatal(...any)
	Fatalf(string, ...any)
}

// simulatedHost stands in for supervisors and instances. Every action is carried out once by its ID, as supervisors do.
type simulatedHost struct {
	t                tester
	m                *Machine
	spec             *Spec
	now              monotime.Micros
	fakes            map[string]*fakeInstance
	executed         map[string]bool
	saved            Snapshot // what was written down
	launches         map[string]int
	dropAction       func(Action) bool // the action does not reach its supervisor
	check            func([]Action)
	startupTime      monotime.Micros
	crashNext        bool // the agent dies between writing down and acting
	host             string
	pastObservations []InstanceObserved // earlier ones, some of incarnations that are over
}

func readTestSpec(t tester, text string) *Spec {
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

func newHost(t tester, s *Spec) *simulatedHost {
	return newNamedHost(t, s, "h1")
}

func newNamedHost(t tester, s *Spec, host string) *simulatedHost {
	w := &simulatedHost{
		t: t, spec: s, host: host, now: 1000 * second, fakes: map[string]*fakeInstance{}, executed: map[string]bool{}, launches: map[string]int{},
		startupTime: second / 2,
	}
	w.m = New(s, host, testTerms(), window)
	for _, n := range w.m.Names() {
		w.fakes[n] = &fakeInstance{}
	}
	return w
}

// apply gives the machine an event, writes down what it must, and carries the actions out.
func (w *simulatedHost) apply(ev Event) error {
	actions, _, err := w.m.Decide(w.now, ev)
	actions = slices.Clone(actions)
	w.save()
	if w.check != nil {
		w.check(actions)
	}
	if w.crashNext {
		w.crashNext = false
		w.restart()
		return err
	}
	for _, s := range actions {
		if w.dropAction == nil || !w.dropAction(s) {
			w.execute(s)
		}
	}
	return err
}

func (w *simulatedHost) save() {
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
func (w *simulatedHost) restart() {
	w.m = New(w.spec, w.host, testTerms(), window)
	w.m.Restore(w.now, Snapshot{w.saved.Instances, w.saved.Commands}, false)
}

func (w *simulatedHost) execute(s Action) {
	l := w.fakes[s.Name]
	if w.executed[s.ID] {
		return
	}
	switch s.Kind {
	case ActionLaunch:
		w.executed[s.ID] = true
		if s.Adopt {
			if l.alive && l.incarnation == s.Incarnation {
				l.supervised = true
			}
			return
		}
		if l.alive {
			w.t.Fatalf("%s is launched by %s while its incarnation %s runs", s.Name, s.ID, l.incarnation)
		}
		w.launches[s.Name]++
		*l = fakeInstance{alive: true, supervised: true, incarnation: s.Incarnation, since: w.now, unresponsive: l.unresponsive, neverReady: l.neverReady}
	case ActionNotify:
		if l.incarnation != s.Incarnation || !l.alive || !l.supervised {
			return // nobody to take it; it comes again
		}
		w.executed[s.ID] = true
		if l.noticeID != "" && l.noticeID != s.ID {
			w.t.Fatalf("%s was notified by %s and again by %s in one incarnation", s.Name, l.noticeID, s.ID)
		}
		l.noticeID, l.notifiedAt = s.ID, w.now
	case ActionKill:
		if l.incarnation == s.Incarnation && l.alive {
			w.executed[s.ID] = true
			l.exit(Exit{Code: -1, KillReason: s.Cause})
		}
	}
}

func (l *fakeInstance) exit(e Exit) {
	l.alive, l.ready, l.exitState = false, false, e
}

// advance lets time go by and shows the machine what is to be seen, but for what blind hides.
func (w *simulatedHost) advance(span monotime.Micros, blind func(string) bool) {
	for end := w.now + span; w.now < end; {
		w.now += min(end-w.now, 100_000)
		for _, n := range w.m.Names() {
			l := w.fakes[n]
			l.update(w.now, w.startupTime)
			if l.incarnation == "" || blind != nil && blind(n) {
				continue
			}
			s := InstanceObserved{Name: n, Observation: l.observe(w.now)}
			if len(w.pastObservations) < 200 {
				w.pastObservations = append(w.pastObservations, s)
			}
			w.mustApply(s)
		}
		w.mustApply(Tick{})
	}
}

func (l *fakeInstance) update(now, cold monotime.Micros) {
	if !l.alive {
		return
	}
	l.ready = l.noticeID == "" && !l.neverReady && now-l.since >= cold
	if l.noticeID == "" {
		return
	}
	switch after := now - l.notifiedAt; {
	case l.unresponsive && l.supervised && after >= 2*second:
		l.exit(Exit{Code: -1, KillReason: "deaf", DrainTime: after})
	case !l.unresponsive && after >= 2500_000:
		l.exit(Exit{DrainTime: after})
	}
}

func (l *fakeInstance) observe(now monotime.Micros) Observation {
	s := Observation{Incarnation: l.incarnation, NoticeID: l.noticeID}
	switch {
	case !l.alive:
		s.Phase, s.Exit = PhaseExited, l.exitState
	case !l.supervised:
		s.Phase, s.Orphaned, s.Cause = PhaseUnknown, true, "its keeper is gone"
		s.NoticeID = ""
	case l.noticeID != "" && l.unresponsive:
		s.Phase = PhaseUnresponsive
	case l.noticeID != "" && now-l.notifiedAt < 2*second:
		s.Phase = PhaseDraining
	case l.noticeID != "":
		s.Phase = PhaseStopping
	case l.ready:
		s.Phase = PhaseReady
	default:
		s.Phase = PhaseStarting
	}
	return s
}

func (w *simulatedHost) command(id string, kind CommandKind, within monotime.Micros, names ...string) error {
	c := &Command{ID: id, Kind: kind, Names: names, RequestedBy: "test", Deadline: w.now + within}
	switch kind {
	case KindRollingUpdate:
		terms := w.spec.RollingUpdate
		c.Rollout = &terms
	case KindColdStart:
		c.Quota = w.spec.ColdStartQuota
	}
	return w.apply(CommandReceived{c})
}

// mustCommand issues a command that has to be accepted.
func (w *simulatedHost) mustCommand(id string, kind CommandKind, within monotime.Micros, names ...string) {
	w.t.Helper()
	if err := w.command(id, kind, within, names...); err != nil {
		w.t.Fatalf("%s: %v", id, err)
	}
}

// mustApply gives the machine an event that can't be refused.
func (w *simulatedHost) mustApply(ev Event) {
	w.t.Helper()
	if err := w.apply(ev); err != nil {
		w.t.Fatalf("%+v: %v", ev, err)
	}
}

// groupsOf writes a fleet of some groups of so many instances on one host.
func groupsOf(groups, each, spares int, update string) string {
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
	return text + " (wave " + update + "))"
}

func startAll(w *simulatedHost) {
	w.mustCommand("up", KindStart, 60*second, w.nonSpares()...)
	w.advance(3*second, nil)
}

func (w *simulatedHost) nonSpares() (names []string) {
	for _, n := range w.m.Names() {
		if in, _ := w.m.Instance(n); !in.Spare {
			names = append(names, n)
		}
	}
	return names
}

func newRandom(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 1)) }
