package fleet

import (
	"errors"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"milletbarrow/internal/limits"
	"milletbarrow/internal/sexpr"
)

// specErrorsOf reads a fleet's file and returns what is wrong with it.
func specErrorsOf(t *testing.T, text string) (all []*SpecError) {
	t.Helper()
	_, err := ReadSpec("fleet.sx", []byte(text), limits.ForControl())
	return specErrors(t, err)
}

// specErrors takes apart what ReadSpec returned.
func specErrors(t *testing.T, err error) (all []*SpecError) {
	t.Helper()
	joined, ok := err.(interface{ Unwrap() []error })
	if !ok {
		t.Fatalf("%v joins no errors", err)
	}
	for _, one := range joined.Unwrap() {
		wrong, ok := errors.AsType[*SpecError](one)
		if !ok {
			t.Fatalf("%v is no *SpecError", one)
		}
		all = append(all, wrong)
	}
	return all
}

// TestSpecErrorSubjects: each error about a fleet's file names the host, group, instance or quota that it is about, and
// the field.
func TestSpecErrorSubjects(t *testing.T) {
	const hosts = `(host h1 (agent "unix:/a") (peer 127.0.0.1:1)) (host h2 (agent x) (peer 127.0.0.1:2) (colour red))`
	const group1 = `(group g1 (host h1) (config "%n") (instances a b) (settle never))`
	const group2 = `(group g2 (host h3) (config "%n") (instances c a ../x) (spares b) (colour red))`
	const quotas = `(budgets (ledger h1 h9) (budget q1 (rate 10)) (budget q2 (count 3) (colour red)) (colour red))`
	type subject struct {
		SpecSubject
		Field string
	}
	all := specErrorsOf(t, `(fleet f `+hosts+group1+group2+quotas+`(wave (width 0)) (rise (budget q1)) (colour red))`)
	got := make([]subject, 0, len(all))
	for _, e := range all {
		place, ok := errors.AsType[*sexpr.Error](e)
		if !ok || e.Error() != place.Error() {
			t.Fatalf("%v does not hold its place: %v", e, place)
		}
		got = append(got, subject{e.SpecSubject, strings.TrimPrefix(place.Field, "fleet.")})
	}
	want := []subject{
		{SpecSubject{Host: "h2"}, "host.colour"},
		{SpecSubject{Host: "h2"}, "host.agent"},
		{SpecSubject{Group: "g1"}, "group.settle"},
		{SpecSubject{Group: "g2"}, "group.host"},
		{SpecSubject{Group: "g2", Instance: "a"}, "group.instances"},
		{SpecSubject{Group: "g2", Instance: "../x"}, "group.instances"},
		{SpecSubject{Group: "g2", Instance: "b"}, "group.spares"},
		{SpecSubject{Group: "g2"}, "group.colour"},
		{SpecSubject{}, "wave.width"},
		{SpecSubject{}, "budgets.ledger"},
		{SpecSubject{}, "budgets.ledger"},
		{SpecSubject{Quota: "q1"}, "budgets.budget.tenant"},
		{SpecSubject{Quota: "q2"}, "budgets.budget.colour"},
		{SpecSubject{}, "budgets.colour"},
		{SpecSubject{}, "rise.budget"},
		{SpecSubject{}, "colour"},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// TestSpecErrorSubjectsOfHosts: hosts that can't take part, for what other forms of the file ask, are named.
func TestSpecErrorSubjectsOfHosts(t *testing.T) {
	bounds := limits.ForControl()
	bounds.Instances = 1
	_, err := ReadSpec("fleet.sx", []byte(`(fleet f (host h1 (agent "unix:/a") (peer 127.0.0.1:1)) (host h2 (agent "unix:/b"))
		(group g (host h1) (config "%n") (instances a b)) (budgets (ledger h1) (budget q (count 1))))`), bounds)
	named := make([]SpecSubject, 0, 2)
	for _, wrong := range specErrors(t, err) {
		named = append(named, wrong.SpecSubject)
	}
	if diff := cmp.Diff([]SpecSubject{{Host: "h1"}, {Host: "h2"}}, named); diff != "" {
		t.Errorf("%v\n%s", err, diff)
	}
}

// TestManySpecErrors: beyond the bound on errors the file's errors still come, each with its own subject.
func TestManySpecErrors(t *testing.T) {
	all := specErrorsOf(t, `(fleet f (host h1 (agent "unix:/a")) (group g1 (config "%n") (instances a`+strings.Repeat(" a", 30)+`)) (group g2))`)
	for _, e := range all {
		if e.SpecSubject != (SpecSubject{Group: "g1", Instance: "a"}) {
			t.Errorf("%v: %+v", e, e.SpecSubject)
		}
	}
	if len(all) == 0 {
		t.Error("no error")
	}
}

// TestUnparsedSpec: a file that is no S-expression is reported with its place alone.
func TestUnparsedSpec(t *testing.T) {
	_, err := ReadSpec("fleet.sx", []byte("(fleet"), limits.ForControl())
	if _, ok := errors.AsType[*sexpr.Error](err); !ok {
		t.Errorf("%v", err)
	}
}

// TestCommandErrors: a rejected command says which field, instance or group is meant, in a type and in its text.
func TestCommandErrors(t *testing.T) {
	config := DefaultRollingUpdate()
	config.MinReadyShare = 0
	with := func(change func(*RollingUpdateConfig)) *RollingUpdateConfig {
		changed := config
		change(&changed)
		return &changed
	}
	const late = 100_000 * second
	for _, c := range []struct {
		command         Command
		field           string
		instance, group string
		text            string
	}{
		{Command{ID: "../x", Kind: KindStart, Names: []string{"a"}}, "id", "", "", `id: invalid name "../x", wanted at most 40 letters, digits, . - _, not beginning with . or -`},
		{Command{ID: "c", Kind: "dance", Names: []string{"a"}}, "kind", "", "", `kind: "dance" is not one of [start drain stop restart wave rise]`},
		{Command{ID: "c", Kind: KindStart}, "names", "", "", "names: missing, wanted at least one instance"},
		{Command{ID: "c", Kind: KindStart, Names: []string{"z"}}, "names", "z", "", `names: unknown instance "z"`},
		{Command{ID: "c", Kind: KindStart, Names: []string{"a", "a"}}, "names", "a", "", `names: duplicate instance "a"`},
		{Command{ID: "c", Kind: KindRollingUpdate, Names: []string{"x"}, Rollout: &config}, "names", "x", "", `names: "x" is a spare: a rolling update uses spares by its surge only`},
		{Command{ID: "c", Kind: KindStart, Names: []string{"a"}, Immediate: true}, "now", "", "", `now: not allowed with kind "start", only with "stop"`},
		{Command{ID: "c", Kind: KindRollingUpdate, Names: []string{"a"}}, "terms", "", "", `terms: required with kind "wave", and allowed with no other`},
		{Command{ID: "c", Kind: KindColdStart, Names: []string{"a"}}, "budget", "", "", "budget: missing, wanted a budget with a count from the fleet's file"},
		{Command{ID: "c", Kind: KindStart, Names: []string{"a"}, Quota: "q"}, "budget", "", "", `budget: not allowed with kind "start"`},
		{Command{ID: "c", Kind: KindStart, Names: []string{"a"}, Deadline: -1}, "due", "", "", "due: deadline is in the past"},
		{Command{ID: "c", Kind: KindRollingUpdate, Names: []string{"a"}, Rollout: with(func(host *RollingUpdateConfig) { host.MaxInProgress = 0 })},
			"width", "", "", "width: 0 is not from 1 to 10000"},
		{Command{ID: "c", Kind: KindRollingUpdate, Names: []string{"a"}, Rollout: with(func(host *RollingUpdateConfig) { host.MinReady = -1 })},
			"least_count", "", "", "least_count: -1 is negative"},
		{Command{ID: "c", Kind: KindRollingUpdate, Names: []string{"a"}, Rollout: with(func(host *RollingUpdateConfig) { host.MinReadyShare = 2 })},
			"least_share", "", "", "least_share: 2 is not from 0 to 1"},
		{Command{ID: "c", Kind: KindRollingUpdate, Names: []string{"a"}, Rollout: with(func(host *RollingUpdateConfig) { host.Order = "up" })},
			"order", "", "", `order: "up" is not one of file, name, spread`},
		{Command{ID: "c", Kind: KindRollingUpdate, Names: []string{"a"}, Rollout: with(func(host *RollingUpdateConfig) { host.Surge = -1 })},
			"surge", "", "", "surge: -1 is negative"},
		{Command{ID: "c", Kind: KindRollingUpdate, Names: []string{"a"}, Rollout: with(func(w *RollingUpdateConfig) { w.MaxFailures = -1 })},
			"failures", "", "", "failures: -1 is negative"},
		{Command{ID: "c", Kind: KindRollingUpdate, Names: []string{"a"}, Rollout: with(func(w *RollingUpdateConfig) { w.ReadyWithin = -second })},
			"ready_within", "", "", "ready_within: -1s is negative"},
		{Command{ID: "c", Kind: KindRollingUpdate, Names: []string{"a"}, Rollout: with(func(w *RollingUpdateConfig) { w.StallTimeout = 0 })},
			"stall", "", "", "stall: 0s is not above 0"},
		{Command{ID: "c", Kind: KindRollingUpdate, Names: []string{"a"}, Rollout: with(func(w *RollingUpdateConfig) { w.RejectionTolerance = -second })},
			"turned_for", "", "", "turned_for: -1s is negative"},
		{Command{ID: "c", Kind: KindRollingUpdate, Names: []string{"a"}, Rollout: with(func(host *RollingUpdateConfig) { host.MaxRejectedShare = 0 })},
			"turned_away", "", "", "turned_away: 0 is not above 0 and at most 1"},
		{Command{ID: "c", Kind: KindRollingUpdate, Names: []string{"a"}, Rollout: with(func(host *RollingUpdateConfig) { host.Surge = 2 })},
			"surge", "", "g", `surge: group "g" has 1 spares that are down, wanted 2`},
		{Command{ID: "c", Kind: KindRollingUpdate, Names: []string{"a"}, Rollout: with(func(host *RollingUpdateConfig) { host.MinReady = 2 })},
			"least", "", "g", `least: group "g" has 2 instances up and 0 spares: none can restart while 2 must stay ready`},
	} {
		host := newHost(t, readTestSpec(t, twoInstances))
		startAll(host)
		if c.command.Deadline == 0 {
			c.command.Deadline = late
		}
		_, _, err := host.m.Decide(host.now, CommandReceived{&c.command})
		rejection, ok := errors.AsType[*CommandError](err)
		if !ok || rejection.Operation != OperationAccept || rejection.CommandID != c.command.ID {
			t.Errorf("%s: %+v", c.text, rejection)
			continue
		}
		field, ok := errors.AsType[*FieldError](err)
		if !ok || field.Field != c.field || rejection.Instance != c.instance || rejection.Group != c.group || err.Error() != c.text {
			t.Errorf("want %q about field %q, instance %q, group %q; got %q: %+v, %+v", c.text, c.field, c.instance, c.group, err, rejection, field)
		}
	}
}

// TestControlErrors: what can't be done to a command is told apart by type.
func TestControlErrors(t *testing.T) {
	host := newHost(t, readTestSpec(t, twoInstances))
	host.mustCommand("open", KindStart, 20*second, "a")
	steer := func(id string, verb Verb) error {
		_, _, err := host.m.Decide(host.now, CommandControl{CommandID: id, Verb: verb, RequestedBy: "test"})
		return err
	}
	for _, c := range []struct {
		err  error
		is   error
		text string
	}{
		{steer("nothing", VerbPause), ErrUnknownCommand, "no such command"},
		{steer("open", VerbPause), ErrNotPausable, "pause: only a rolling update can be paused or resumed"},
		{steer("open", VerbResume), ErrNotPausable, "resume: only a rolling update can be paused or resumed"},
	} {
		if !errors.Is(c.err, c.is) || c.err.Error() != c.text {
			t.Errorf("%v, want %q", c.err, c.text)
		}
	}
	if err := steer("open", VerbCancel); err != nil {
		t.Fatal(err)
	}
	if err := steer("open", VerbCancel); !errors.Is(err, ErrCommandEnded) || err.Error() != "cancel: the command has ended" {
		t.Errorf("%v", err)
	}
	host = newHost(t, readTestSpec(t, twoInstances))
	startAll(host)
	config := DefaultRollingUpdate()
	config.MinReadyShare = 0
	if _, _, err := host.m.Decide(host.now, CommandReceived{&Command{ID: "w", Kind: KindRollingUpdate, Names: []string{"a"}, Deadline: host.now + 20*second, Rollout: &config}}); err != nil {
		t.Fatal(err)
	}
	unknown, ok := errors.AsType[*VerbError](steer("w", "dance"))
	if !ok || unknown.Verb != "dance" || unknown.Error() != `unknown operation "dance", wanted pause, resume or cancel` {
		t.Errorf("%v", unknown)
	}
}

// TestNameErrors: a name, an address or a word of a selection that can't be used is in its error.
func TestNameErrors(t *testing.T) {
	if bad, ok := errors.AsType[*NameError](CheckName("-x")); !ok || bad.Name != "-x" {
		t.Errorf("%v", bad)
	}
	for address, text := range map[string]string{
		"unix:a":   `"a" is not an absolute path of at most 100 bytes`,
		"10.0.0.1": `"10.0.0.1" is neither unix:PATH nor 127.x.x.x:PORT`,
	} {
		if bad, ok := errors.AsType[*AddressError](CheckAddress(address)); !ok || bad.Address != address || bad.Error() != text {
			t.Errorf("%s: %v", address, bad)
		}
	}
	s := readTestSpec(t, twoInstances)
	for _, c := range []struct {
		selection Selection
		want      SelectionError
	}{
		{Selection{Names: []string{"z"}}, SelectionError{"instance", "z", "f"}}, {Selection{Groups: []string{"z"}}, SelectionError{"group", "z", "f"}},
		{Selection{Labels: []string{"z"}}, SelectionError{"label", "z", "f"}}, {Selection{Hosts: []string{"z"}}, SelectionError{"host", "z", "f"}},
	} {
		_, err := s.Select(c.selection)
		if got, ok := errors.AsType[*SelectionError](err); !ok || *got != c.want || err.Error() != c.want.Kind+` "z" matches nothing in fleet f` {
			t.Errorf("%+v: %v", c.selection, err)
		}
	}
	if _, err := s.Select(Selection{}); !errors.Is(err, ErrEmptySelection) {
		t.Errorf("%v", err)
	}
}
