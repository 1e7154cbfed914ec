package fleet

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"milletbarrow/internal/limits"
	"milletbarrow/monotime"
)

const (
	second   = monotime.Second
	stepTime = 100 * monotime.Millisecond // between two observations of a simulated host
	testSeed = 7

	testGrace           = 2 * second
	testExitTimeout     = 3200 * monotime.Millisecond
	testDrainTime       = 2500 * monotime.Millisecond // of an instance that reacts to its notice
	maxPastObservations = 200                         // bound of simulatedHost.pastObservations
)

// tester is a test or a property under test.
type tester interface {
	Helper()
	Fatal(...any)
	Fatalf(string, ...any)
}

// fakeInstance is the actual state of an instance, which may differ from what the machine has observed.
type fakeInstance struct {
	alive        bool
	supervised   bool
	ready        bool
	unresponsive bool // does not react to notices
	neverReady   bool
	incarnation  string
	noticeID     string          // empty: not notified
	since        monotime.Micros // start of the incarnation
	notifiedAt   monotime.Micros
	lastExit     Exit
}

// simulatedHost simulates the agent, the supervisors and the instances of a host. It carries out each action ID once,
// as supervisors do.
type simulatedHost struct {
	t                tester
	name             string
	spec             *Spec
	m                *Machine
	now              monotime.Micros
	startupTime      monotime.Micros // from an instance's launch to ready
	fakes            map[string]*fakeInstance
	executed         map[string]bool    // by action ID
	launches         map[string]int     // by instance name
	saved            Snapshot           // the stored state
	dropAction       func(Action) bool  // reports whether the action is lost; nil: none is
	check            func([]Action)     // checks the actions of each event; nil: nothing
	crashNext        bool               // crash the agent after it stores the state, before it acts
	pastObservations []InstanceObserved // may include incarnations that have ended
}

func readTestSpec(t tester, text string) *Spec {
	t.Helper()
	spec, err := ReadSpec("fleet.sx", []byte(text), limits.ForControl())
	if err != nil {
		t.Fatal(err)
	}
	return spec
}

func testWindow(*InstanceSpec) ShutdownWindow {
	return ShutdownWindow{Grace: testGrace, ExitTimeout: testExitTimeout}
}

func testConfig() Config { return DefaultConfig(limits.ForControl(), testSeed) }

// newHost returns the simulated host h1.
func newHost(t tester, spec *Spec) *simulatedHost {
	t.Helper()
	return newNamedHost(t, spec, "h1")
}

func newNamedHost(t tester, spec *Spec, name string) *simulatedHost {
	t.Helper()
	host := &simulatedHost{
		t:           t,
		name:        name,
		spec:        spec,
		m:           New(spec, name, testConfig(), testWindow),
		now:         1000 * second,
		startupTime: second / 2,
		fakes:       map[string]*fakeInstance{},
		executed:    map[string]bool{},
		launches:    map[string]int{},
	}
	for _, name := range host.m.Names() {
		host.fakes[name] = &fakeInstance{}
	}
	return host
}

// apply gives the machine an event, stores the changes, and carries out the actions.
func (host *simulatedHost) apply(event Event) error {
	actions, _, err := host.m.Decide(host.now, event)
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

// mustApply gives the machine an event and fails the test if it is rejected.
func (host *simulatedHost) mustApply(event Event) {
	host.t.Helper()
	if err := host.apply(event); err != nil {
		host.t.Fatalf("%+v: %v", event, err)
	}
}

// save stores the changes of the machine.
func (host *simulatedHost) save() {
	changed, forgotten := host.m.Changes()
	for _, inst := range changed.Instances {
		host.saved.Instances = upsert(host.saved.Instances, inst, func(inst Instance) string { return inst.Name })
	}
	for _, command := range changed.Commands {
		host.saved.Commands = upsert(host.saved.Commands, command, func(command *Command) string { return command.ID })
	}
	host.saved.Commands = slices.DeleteFunc(host.saved.Commands, func(command *Command) bool {
		return slices.Contains(forgotten, command.ID)
	})
}

// upsert replaces the value with the same key, or appends a new one.
func upsert[T any](all []T, value T, key func(T) string) []T {
	for i := range all {
		if key(all[i]) == key(value) {
			all[i] = value
			return all
		}
	}
	return append(all, value)
}

// restart replaces the machine by one restored from the stored state, as a restart of the agent does.
func (host *simulatedHost) restart() {
	host.m = New(host.spec, host.name, testConfig(), testWindow)
	host.m.Restore(host.now, Snapshot{Instances: host.saved.Instances, Commands: host.saved.Commands}, false)
}

// execute carries out an action, once.
func (host *simulatedHost) execute(action Action) {
	if host.executed[action.ID] {
		return
	}
	fake := host.fakes[action.Name]
	switch action.Kind {
	case ActionLaunch:
		host.executed[action.ID] = true
		host.launch(fake, action)
	case ActionNotify:
		if fake.incarnation != action.Incarnation || !fake.alive || !fake.supervised {
			return // no supervisor accepts the notice, so it is sent again
		}
		host.executed[action.ID] = true
		if fake.noticeID != "" && fake.noticeID != action.ID {
			host.t.Fatalf("%s was notified by %s and again by %s in one incarnation",
				action.Name, fake.noticeID, action.ID)
		}
		fake.noticeID = action.ID
		fake.notifiedAt = host.now
	case ActionKill:
		if fake.incarnation == action.Incarnation && fake.alive {
			host.executed[action.ID] = true
			fake.exit(Exit{Code: -1, KillReason: action.Cause})
		}
	case ActionAcquireUnit, ActionReleaseUnit: // tests that need them handle them by dropAction
	}
}

// launch starts an incarnation, or a supervisor that adopts the running one.
func (host *simulatedHost) launch(fake *fakeInstance, action Action) {
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
	*fake = fakeInstance{
		alive:        true,
		supervised:   true,
		unresponsive: fake.unresponsive,
		neverReady:   fake.neverReady,
		incarnation:  action.Incarnation,
		since:        host.now,
	}
}

// exit ends the process of the instance.
func (fake *fakeInstance) exit(exit Exit) {
	fake.alive = false
	fake.ready = false
	fake.lastExit = exit
}

// advance lets time pass and reports observations to the machine, except those of instances for which hidden returns
// true; nil hides none.
func (host *simulatedHost) advance(span monotime.Micros, hidden func(name string) bool) {
	for end := host.now + span; host.now < end; {
		host.now += min(end-host.now, stepTime)
		for _, name := range host.m.Names() {
			fake := host.fakes[name]
			fake.update(host.now, host.startupTime)
			if fake.incarnation == "" || hidden != nil && hidden(name) {
				continue
			}
			observed := InstanceObserved{Name: name, Observation: fake.observe(host.now)}
			if len(host.pastObservations) < maxPastObservations {
				host.pastObservations = append(host.pastObservations, observed)
			}
			host.mustApply(observed)
		}
		host.mustApply(Tick{})
	}
}

// update brings an instance to its state at the time now.
func (fake *fakeInstance) update(now, startupTime monotime.Micros) {
	if !fake.alive {
		return
	}
	fake.ready = fake.noticeID == "" && !fake.neverReady && now-fake.since >= startupTime
	if fake.noticeID == "" {
		return
	}
	switch sinceNotice := now - fake.notifiedAt; {
	case fake.unresponsive && fake.supervised && sinceNotice >= testGrace:
		fake.exit(Exit{Code: -1, KillReason: "deaf", DrainTime: sinceNotice})
	case !fake.unresponsive && sinceNotice >= testDrainTime:
		fake.exit(Exit{DrainTime: sinceNotice})
	}
}

// observe returns the observation that the agent makes of an instance.
func (fake *fakeInstance) observe(now monotime.Micros) Observation {
	observation := Observation{Incarnation: fake.incarnation, NoticeID: fake.noticeID}
	switch {
	case !fake.alive:
		observation.Phase = PhaseExited
		observation.Exit = fake.lastExit
	case !fake.supervised:
		observation.Phase = PhaseUnknown
		observation.Orphaned = true
		observation.Cause = causeSupervisorGone
		observation.NoticeID = ""
	case fake.noticeID != "" && fake.unresponsive:
		observation.Phase = PhaseUnresponsive
	case fake.noticeID != "" && now-fake.notifiedAt < testGrace:
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

// command gives the machine a command with a deadline.
func (host *simulatedHost) command(id string, kind CommandKind, within monotime.Micros, names ...string) error {
	command := &Command{ID: id, Kind: kind, Names: names, RequestedBy: "test", Deadline: host.now + within}
	switch kind {
	case KindRollingUpdate:
		rollout := host.spec.RollingUpdate
		command.Rollout = &rollout
	case KindColdStart:
		command.Quota = host.spec.ColdStartQuota
	case KindStart, KindDrain, KindStop, KindRestart:
	}
	return host.apply(CommandReceived{command})
}

// mustCommand gives the machine a command and fails the test if it is rejected.
func (host *simulatedHost) mustCommand(id string, kind CommandKind, within monotime.Micros, names ...string) {
	host.t.Helper()
	if err := host.command(id, kind, within, names...); err != nil {
		host.t.Fatalf("%s: %v", id, err)
	}
}

// startAll starts all instances except the spares, and waits until they have settled.
func startAll(host *simulatedHost) {
	host.t.Helper()
	host.mustCommand("up", KindStart, 60*second, host.nonSpares()...)
	host.advance(3*second, nil)
}

func (host *simulatedHost) nonSpares() (names []string) {
	for _, name := range host.m.Names() {
		if inst, _ := host.m.Instance(name); !inst.Spare {
			names = append(names, name)
		}
	}
	return names
}

// groupsOf returns the file of a fleet with groups of perGroup instances on one host.
func groupsOf(groups, perGroup, spares int, update string) string {
	var text strings.Builder
	text.WriteString(`(fleet f (host h1 (agent "unix:/tmp/h1"))`)
	for group := range groups {
		fmt.Fprintf(&text, ` (group g%d (config "%%n.json") (start-within 5s) (settle 1s) (range g%d-n 1 %d)`,
			group, group, perGroup)
		if spares > 0 {
			text.WriteString(" (spares")
			for spare := range spares {
				fmt.Fprintf(&text, " g%d-s%d", group, spare+1)
			}
			text.WriteString(")")
		}
		text.WriteString(")")
	}
	return text.String() + " (wave " + update + "))"
}

// dropKind returns a dropAction that loses all actions of a kind.
func dropKind(kind ActionKind) func(Action) bool {
	return func(action Action) bool { return action.Kind == kind }
}

// decide gives the machine an event and returns its actions without carrying them out.
func decide(t *testing.T, host *simulatedHost, event Event) []Action {
	t.Helper()
	actions, _, err := host.m.Decide(host.now, event)
	if err != nil {
		t.Fatal(err)
	}
	return slices.Clone(actions)
}

// storedForm returns an instance as the agent stores it.
func storedForm(t *testing.T, inst *Instance) string {
	t.Helper()
	raw, err := json.Marshal(inst)
	if err != nil {
		t.Fatal(err)
	}
	return string(raw)
}

func newRandom(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 1)) }
