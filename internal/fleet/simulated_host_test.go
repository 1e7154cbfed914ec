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
	name             string
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

func newNamedHost(t tester, spec *Spec, name string) *simulatedHost {
	host := &simulatedHost{
		t: t, spec: spec, name: name, now: 1000 * second, fakes: map[string]*fakeInstance{}, executed: map[string]bool{}, launches: map[string]int{},
		startupTime: second / 2,
	}
	host.m = New(spec, name, testTerms(), window)
	for _, n := range host.m.Names() {
		host.fakes[n] = &fakeInstance{}
	}
	return host
}

// apply gives the machine an event, writes down what it must, and carries the actions out.
func (host *simulatedHost) apply(ev Event) error {
	actions, _, err := host.m.Decide(host.now, ev)
	actions = slices.Clone(actions)
	host.save()
	if host.check != nil {
		host.check(actions)
	}
	if host.crashNext {
		host.crashNext = false
		host.restart()
		return err
	}
	for _, action := range actions {
		if host.dropAction == nil || !host.dropAction(action) {
			host.execute(action)
		}
	}
	return err
}

func (host *simulatedHost) save() {
	r, dropped := host.m.Changes()
	for _, in := range r.Instances {
		host.saved.Instances = put(host.saved.Instances, in, func(i Instance) string { return i.Name })
	}
	for _, c := range r.Commands {
		host.saved.Commands = put(host.saved.Commands, c, func(c *Command) string { return c.ID })
	}
	for _, id := range dropped {
		for i, c := range host.saved.Commands {
			if c.ID == id {
				host.saved.Commands = append(host.saved.Commands[:i], host.saved.Commands[i+1:]...)
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
func (host *simulatedHost) restart() {
	host.m = New(host.spec, host.name, testTerms(), window)
	host.m.Restore(host.now, Snapshot{host.saved.Instances, host.saved.Commands}, false)
}

func (host *simulatedHost) execute(action Action) {
	fake := host.fakes[action.Name]
	if host.executed[action.ID] {
		return
	}
	switch action.Kind {
	case ActionLaunch:
		host.executed[action.ID] = true
		if action.Adopt {
			if fake.alive && fake.incarnation == action.Incarnation {
				fake.supervised = true
			}
			return
		}
		if fake.alive {
			host.t.Fatalf("%s is launched by %s while its incarnation %s runs", action.Name, action.ID, fake.incarnation)
		}
		host.launches[action.Name]++
		*fake = fakeInstance{alive: true, supervised: true, incarnation: action.Incarnation, since: host.now, unresponsive: fake.unresponsive, neverReady: fake.neverReady}
	case ActionNotify:
		if fake.incarnation != action.Incarnation || !fake.alive || !fake.supervised {
			return // nobody to take it; it comes again
		}
		host.executed[action.ID] = true
		if fake.noticeID != "" && fake.noticeID != action.ID {
			host.t.Fatalf("%s was notified by %s and again by %s in one incarnation", action.Name, fake.noticeID, action.ID)
		}
		fake.noticeID, fake.notifiedAt = action.ID, host.now
	case ActionKill:
		if fake.incarnation == action.Incarnation && fake.alive {
			host.executed[action.ID] = true
			fake.exit(Exit{Code: -1, KillReason: action.Cause})
		}
	}
}

func (fake *fakeInstance) exit(e Exit) {
	fake.alive, fake.ready, fake.exitState = false, false, e
}

// advance lets time go by and shows the machine what is to be seen, but for what blind hides.
func (host *simulatedHost) advance(span monotime.Micros, blind func(string) bool) {
	for end := host.now + span; host.now < end; {
		host.now += min(end-host.now, 100_000)
		for _, n := range host.m.Names() {
			fake := host.fakes[n]
			fake.update(host.now, host.startupTime)
			if fake.incarnation == "" || blind != nil && blind(n) {
				continue
			}
			observed := InstanceObserved{Name: n, Observation: fake.observe(host.now)}
			if len(host.pastObservations) < 200 {
				host.pastObservations = append(host.pastObservations, observed)
			}
			host.mustApply(observed)
		}
		host.mustApply(Tick{})
	}
}

func (fake *fakeInstance) update(now, cold monotime.Micros) {
	if !fake.alive {
		return
	}
	fake.ready = fake.noticeID == "" && !fake.neverReady && now-fake.since >= cold
	if fake.noticeID == "" {
		return
	}
	switch after := now - fake.notifiedAt; {
	case fake.unresponsive && fake.supervised && after >= 2*second:
		fake.exit(Exit{Code: -1, KillReason: "deaf", DrainTime: after})
	case !fake.unresponsive && after >= 2500_000:
		fake.exit(Exit{DrainTime: after})
	}
}

func (fake *fakeInstance) observe(now monotime.Micros) Observation {
	observation := Observation{Incarnation: fake.incarnation, NoticeID: fake.noticeID}
	switch {
	case !fake.alive:
		observation.Phase, observation.Exit = PhaseExited, fake.exitState
	case !fake.supervised:
		observation.Phase, observation.Orphaned, observation.Cause = PhaseUnknown, true, "its keeper is gone"
		observation.NoticeID = ""
	case fake.noticeID != "" && fake.unresponsive:
		observation.Phase = PhaseUnresponsive
	case fake.noticeID != "" && now-fake.notifiedAt < 2*second:
		observation.Phase = PhaseDraining
	case fake.noticeID != "":
		observation.Phase = PhaseStopping
	case fake.ready:
		observation.Phase = PhaseReady
	default:
		observation.Phase = PhaseStarting
	}
	return observation
}

func (host *simulatedHost) command(id string, kind CommandKind, within monotime.Micros, names ...string) error {
	c := &Command{ID: id, Kind: kind, Names: names, RequestedBy: "test", Deadline: host.now + within}
	switch kind {
	case KindRollingUpdate:
		terms := host.spec.RollingUpdate
		c.Rollout = &terms
	case KindColdStart:
		c.Quota = host.spec.ColdStartQuota
	}
	return host.apply(CommandReceived{c})
}

// mustCommand issues a command that has to be accepted.
func (host *simulatedHost) mustCommand(id string, kind CommandKind, within monotime.Micros, names ...string) {
	host.t.Helper()
	if err := host.command(id, kind, within, names...); err != nil {
		host.t.Fatalf("%s: %v", id, err)
	}
}

// mustApply gives the machine an event that can't be refused.
func (host *simulatedHost) mustApply(ev Event) {
	host.t.Helper()
	if err := host.apply(ev); err != nil {
		host.t.Fatalf("%+v: %v", ev, err)
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

func startAll(host *simulatedHost) {
	host.mustCommand("up", KindStart, 60*second, host.nonSpares()...)
	host.advance(3*second, nil)
}

func (host *simulatedHost) nonSpares() (names []string) {
	for _, n := range host.m.Names() {
		if in, _ := host.m.Instance(n); !in.Spare {
			names = append(names, n)
		}
	}
	return names
}

func newRandom(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 1)) }
