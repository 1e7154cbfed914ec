package fleet

import (
	"errors"
	"slices"
	"testing"
)

// startA returns a command that starts instance a.
func startA() Command {
	return Command{ID: "c", Kind: KindStart, Names: []string{"a"}}
}

// updateA returns a rolling update of instance a whose configuration has no minimum, changed by change.
func updateA(change func(*RollingUpdateConfig)) Command {
	config := DefaultRollingUpdate()
	config.MinReadyShare = 0
	change(&config)
	return Command{ID: "c", Kind: KindRollingUpdate, Names: []string{"a"}, Rollout: &config}
}

// commandErrorCase is a command that the machine of a host with twoInstances rejects.
type commandErrorCase struct {
	name     string
	command  Command
	change   func(*Command) // makes command invalid; nil: it already is
	field    string
	instance string // that the error names; empty: none
	group    string // that the error names; empty: none
	text     string
}

var commandErrorCases = []commandErrorCase{
	{
		name: "invalid ID", command: startA(), change: func(c *Command) { c.ID = "../x" }, field: "id",
		text: `id: invalid name "../x", wanted at most 40 letters, digits, . - _, not beginning with . or -`,
	},
	{
		name: "unknown kind", command: startA(), change: func(c *Command) { c.Kind = "reboot" }, field: "kind",
		text: `kind: "reboot" is not one of [start drain stop restart wave rise]`,
	},
	{
		name: "no instance", command: startA(), change: func(c *Command) { c.Names = nil }, field: "names",
		text: "names: missing, wanted at least one instance",
	},
	{
		name: "unknown instance", command: startA(), change: func(c *Command) { c.Names = []string{"z"} },
		field: "names", instance: "z", text: `names: unknown instance "z"`,
	},
	{
		name: "duplicate instance", command: startA(), change: func(c *Command) { c.Names = []string{"a", "a"} },
		field: "names", instance: "a", text: `names: duplicate instance "a"`,
	},
	{
		name:    "spare",
		command: updateA(func(*RollingUpdateConfig) {}), change: func(c *Command) { c.Names = []string{"x"} },
		field: "names", instance: "x",
		text: `names: "x" is a spare: a rolling update uses spares by its surge only`,
	},
	{
		name: "immediate start", command: startA(), change: func(c *Command) { c.Immediate = true }, field: "now",
		text: `now: not allowed with kind "start", only with "stop"`,
	},
	{
		name: "rolling update without a configuration", command: updateA(func(*RollingUpdateConfig) {}),
		change: func(c *Command) { c.Rollout = nil }, field: "terms",
		text: `terms: required with kind "wave", and allowed with no other`,
	},
	{
		name: "cold start without a quota", command: startA(), change: func(c *Command) { c.Kind = KindColdStart },
		field: "budget", text: "budget: missing, wanted the name of a quota with a count in the fleet's file",
	},
	{
		name: "start with a quota", command: startA(), change: func(c *Command) { c.Quota = "q" }, field: "budget",
		text: `budget: not allowed with kind "start"`,
	},
	{
		name: "past deadline", command: startA(), change: func(c *Command) { c.Deadline = -1 }, field: "due",
		text: "due: deadline is in the past",
	},
}

// rolloutErrorCases are rolling updates with an invalid configuration.
var rolloutErrorCases = []commandErrorCase{
	{
		name: "none in progress", command: updateA(func(config *RollingUpdateConfig) { config.MaxInProgress = 0 }),
		field: "width", text: "width: 0 is not from 1 to 10000",
	},
	{
		name: "negative minimum", command: updateA(func(config *RollingUpdateConfig) { config.MinReady = -1 }),
		field: "least_count", text: "least_count: -1 is negative",
	},
	{
		name: "share above 1", command: updateA(func(config *RollingUpdateConfig) { config.MinReadyShare = 2 }),
		field: "least_share", text: "least_share: 2 is not from 0 to 1",
	},
	{
		name: "unknown order", command: updateA(func(config *RollingUpdateConfig) { config.Order = "up" }),
		field: "order", text: `order: "up" is not one of file, name, spread`,
	},
	{
		name: "negative surge", command: updateA(func(config *RollingUpdateConfig) { config.Surge = -1 }),
		field: "surge", text: "surge: -1 is negative",
	},
	{
		name: "negative failures", command: updateA(func(config *RollingUpdateConfig) { config.MaxFailures = -1 }),
		field: "failures", text: "failures: -1 is negative",
	},
	{
		name:    "negative time to ready",
		command: updateA(func(config *RollingUpdateConfig) { config.ReadyWithin = -second }),
		field:   "ready_within", text: "ready_within: -1s is negative",
	},
	{
		name: "no stall timeout", command: updateA(func(config *RollingUpdateConfig) { config.StallTimeout = 0 }),
		field: "stall", text: "stall: 0s is not above 0",
	},
	{
		name:    "negative tolerance of rejections",
		command: updateA(func(config *RollingUpdateConfig) { config.RejectionTolerance = -second }),
		field:   "turned_for", text: "turned_for: -1s is negative",
	},
	{
		name:    "rejected share of 0",
		command: updateA(func(config *RollingUpdateConfig) { config.MaxRejectedShare = 0 }),
		field:   "turned_away", text: "turned_away: 0 is not above 0 and at most 1",
	},
	{
		name: "more surge than spares", command: updateA(func(config *RollingUpdateConfig) { config.Surge = 2 }),
		field: "surge", group: "g", text: `surge: group "g" has 1 spares that are down, wanted 2`,
	},
	{
		name: "unreachable minimum", command: updateA(func(config *RollingUpdateConfig) { config.MinReady = 2 }),
		field: "least", group: "g",
		text: `least: group "g" has 2 instances up and 0 spares: none can restart while 2 must stay ready`,
	},
}

// TestCommandErrorsNameTheInvalidPart checks that the error of a rejected command names the invalid field, instance or
// group, in its fields and in its message.
func TestCommandErrorsNameTheInvalidPart(t *testing.T) {
	for _, test := range slices.Concat(commandErrorCases, rolloutErrorCases) {
		t.Run(test.name, func(t *testing.T) {
			host := newHost(t, readTestSpec(t, twoInstances))
			startAll(host)
			command := test.command
			command.Deadline = host.now + 60*second
			if test.change != nil {
				test.change(&command)
			}
			_, _, err := host.m.Decide(host.now, CommandReceived{&command})
			rejection, ok := errors.AsType[*CommandError](err)
			if !ok || rejection.Operation != OperationAccept || rejection.CommandID != command.ID {
				t.Fatalf("%+v, want a *CommandError of operation accept on command %q", err, command.ID)
			}
			if rejection.Instance != test.instance || rejection.Group != test.group {
				t.Errorf("instance %q, group %q, want %q, %q",
					rejection.Instance, rejection.Group, test.instance, test.group)
			}
			if field, ok := errors.AsType[*FieldError](err); !ok || field.Field != test.field {
				t.Errorf("%+v, want a *FieldError of field %q", field, test.field)
			}
			if err.Error() != test.text {
				t.Errorf("%q, want %q", err, test.text)
			}
		})
	}
}

// control pauses, resumes or cancels a command and returns the machine's error.
func control(host *simulatedHost, id string, verb Verb) error {
	_, _, err := host.m.Decide(host.now, CommandControl{CommandID: id, Verb: verb, RequestedBy: "test"})
	return err
}

// TestRejectedControlsHaveTypedErrors checks the errors of pause, resume and cancel for commands that do not allow
// them.
func TestRejectedControlsHaveTypedErrors(t *testing.T) {
	host := newHost(t, readTestSpec(t, twoInstances))
	host.mustCommand("open", KindStart, 20*second, "a")
	host.mustCommand("ended", KindStart, 20*second, "b")
	if err := control(host, "ended", VerbCancel); err != nil {
		t.Fatal(err)
	}
	const notPausable = ": only a rolling update can be paused or resumed"
	for _, test := range []struct {
		name string
		id   string
		verb Verb
		want error
		text string
	}{
		{"unknown command", "nothing", VerbPause, ErrUnknownCommand, "no such command"},
		{"pause of a start", "open", VerbPause, ErrNotPausable, "pause" + notPausable},
		{"resume of a start", "open", VerbResume, ErrNotPausable, "resume" + notPausable},
		{"cancel of an ended command", "ended", VerbCancel, ErrCommandEnded, "cancel: the command has ended"},
	} {
		t.Run(test.name, func(t *testing.T) {
			if err := control(host, test.id, test.verb); !errors.Is(err, test.want) || err.Error() != test.text {
				t.Errorf("%v, want %q", err, test.text)
			}
		})
	}
}

// TestUnknownVerbIsRejected checks that an unknown operation on a command is rejected with a *VerbError.
func TestUnknownVerbIsRejected(t *testing.T) {
	host := newHost(t, readTestSpec(t, twoInstances))
	startAll(host)
	host.spec.RollingUpdate.MinReadyShare = 0
	host.mustCommand("w", KindRollingUpdate, 20*second, "a")
	const want = `unknown operation "restart", wanted pause, resume or cancel`
	unknown, ok := errors.AsType[*VerbError](control(host, "w", "restart"))
	if !ok || unknown.Verb != "restart" || unknown.Error() != want {
		t.Errorf("%v, want %q", unknown, want)
	}
}

// TestInvalidNamesAreInTheirErrors checks that the errors of invalid names and addresses contain them.
func TestInvalidNamesAreInTheirErrors(t *testing.T) {
	if bad, ok := errors.AsType[*NameError](CheckName("-x")); !ok || bad.Name != "-x" {
		t.Errorf("CheckName: %v, want a *NameError", bad)
	}
	for _, test := range []struct {
		name    string
		address string
		text    string
	}{
		{"relative socket path", "unix:a", `"a" is not an absolute path of at most 100 bytes`},
		{"address outside the loopback network", "10.0.0.1", `"10.0.0.1" is neither unix:PATH nor 127.x.x.x:PORT`},
	} {
		t.Run(test.name, func(t *testing.T) {
			bad, ok := errors.AsType[*AddressError](CheckAddress(test.address))
			if !ok || bad.Address != test.address || bad.Error() != test.text {
				t.Errorf("CheckAddress: %v, want %q", bad, test.text)
			}
		})
	}
}

// TestUnmatchedSelectionsAreRejected checks that the error of a selection names its word that matches no instance, and
// that an empty selection is rejected.
func TestUnmatchedSelectionsAreRejected(t *testing.T) {
	spec := readTestSpec(t, twoInstances)
	unmatched := []string{"z"}
	for _, test := range []struct {
		kind      string
		selection Selection
	}{
		{"instance", Selection{Names: unmatched}},
		{"group", Selection{Groups: unmatched}},
		{"label", Selection{Labels: unmatched}},
		{"host", Selection{Hosts: unmatched}},
	} {
		t.Run(test.kind, func(t *testing.T) {
			_, err := spec.Select(test.selection)
			got, ok := errors.AsType[*SelectionError](err)
			if want := (SelectionError{Kind: test.kind, Word: "z", Fleet: "f"}); !ok || *got != want {
				t.Fatalf("%v, want %+v", err, want)
			}
			if text := test.kind + ` "z" matches nothing in fleet f`; err.Error() != text {
				t.Errorf("%q, want %q", err, text)
			}
		})
	}
	if _, err := spec.Select(Selection{}); !errors.Is(err, ErrEmptySelection) {
		t.Errorf("empty selection: %v, want %v", err, ErrEmptySelection)
	}
}
