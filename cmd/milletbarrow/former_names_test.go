package main

import (
	"bytes"
	"errors"
	"os/exec"
	"slices"
	"strings"
	"testing"

	"github.com/urfave/cli/v3"
)

// commandAt returns the sub-command at a path of names, or nil.
func commandAt(root *cli.Command, path string) *cli.Command {
	for _, name := range strings.Fields(path) {
		at := slices.IndexFunc(root.Commands, func(c *cli.Command) bool { return c.Name == name })
		if at < 0 {
			return nil
		}
		root = root.Commands[at]
	}
	return root
}

// TestFormerNamesLeadToCommands: each former name maps to an existing command or flag, and is not itself one.
func TestFormerNamesLeadToCommands(t *testing.T) {
	for former, now := range formerCommands {
		words := strings.Fields(former)
		parent := strings.Join(words[:len(words)-1], " ")
		if commandAt(newApp(), parent+" "+now) == nil {
			t.Errorf("%s: there is no %s %s", former, parent, now)
		}
		if commandAt(newApp(), former) != nil {
			t.Errorf("%s: help lists it", former)
		}
	}
	for path, flags := range formerFlags {
		c := commandAt(newApp(), path)
		if c == nil {
			t.Errorf("%s: no such command", path)
			continue
		}
		has := func(name string) bool {
			return slices.ContainsFunc(c.Flags, func(f cli.Flag) bool { return slices.Contains(f.Names(), name) })
		}
		for former, now := range flags {
			if !has(now) || has(former) {
				t.Errorf("%s: --%s maps to --%s: current flag exists %t, former flag exists %t", path, former, now, has(now), has(former))
			}
		}
	}
}

// TestCurrentNamesReplacesOnlyFormerNames: former names are replaced only where they stand for a command or one of its
// flags.
func TestCurrentNamesReplacesOnlyFormerNames(t *testing.T) {
	for given, want := range map[string]string{
		"m": "m",
		"m serve --inspect a.sock --levels=l.sx --draw a=b --log json": "m serve --admin a.sock --degradation=l.sx --quota a=b --log json",
		"m fleet wave wave --width 4 -abreast=2 --id rise":             "m fleet rolling-update wave --max-unavailable 4 -max-hosts=2 --id rise",
		"m fleet rise --all --say end":                                 "m fleet cold-start --all --decision end",
		"m fleet start rise --width 4":                                 "m fleet start rise --width 4",
		"m lab twin FILE":                                              "m experiment validate FILE",
		"m experiment speed FILE":                                      "m experiment benchmark FILE",
		"m lab rise --seeds 6":                                         "m experiment cold-start --seeds 6",
		"m levels pin --socket levels full":                            "m degradation pin --socket levels full",
		"m trial run trial":                                            "m faults run trial",
		"m standin farm --takes 20ms --cold 1s":                        "m fake executor --service-time 20ms --warm-up 1s",
		"m keeper --levels l.sx --draw a=b --dir d":                    "m keeper --levels l.sx --draw a=b --dir d",
		"m keeper -- serve --inspect a.sock":                           "m keeper -- serve --inspect a.sock",
		"m --help levels":                                              "m --help levels",
	} {
		if got := strings.Join(currentNames(strings.Fields(given)), " "); got != want {
			t.Errorf("%s\n got %s\nwant %s", given, got, want)
		}
	}
}

// TestFormerNamesRunCurrentCommands runs the program with each former name of a sub-command or flag, and expects the
// output and exit code of the current name.
func TestFormerNamesRunCurrentCommands(t *testing.T) {
	run := func(args ...string) (string, int) {
		t.Helper()
		var out bytes.Buffer
		c := exec.CommandContext(t.Context(), program, args...)
		c.Stdout, c.Stderr = &out, &out
		err := c.Run()
		if exit, ok := errors.AsType[*exec.ExitError](err); ok {
			return out.String(), exit.ExitCode()
		}
		if err != nil {
			t.Fatal(err)
		}
		return out.String(), 0
	}
	for former := range formerCommands {
		words := append(strings.Fields(former), "--help")
		out, code := run(words...)
		want, _ := run(currentNames(append([]string{program}, words...))[1:]...)
		if code != 0 || out != want || !strings.Contains(out, "USAGE") {
			t.Errorf("%s: exit code %d\n%s\nwant\n%s", former, code, out, want)
		}
	}
	for path, flags := range formerFlags {
		for former, now := range flags {
			words := strings.Fields(path) // a flag without a value fails with an error that has its current name
			out, code := run(append(words, "--"+former)...)
			want, wantCode := run(append(words, "--"+now)...)
			if code != wantCode || out != want || code == 0 || strings.Contains(out, "not defined") {
				t.Errorf("%s --%s: exit code %d\n%s\nwant %d\n%s", path, former, code, out, wantCode, want)
			}
		}
	}
}
