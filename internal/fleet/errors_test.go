package fleet

import (
	"errors"
	"testing"
)

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
