package main

import (
	"errors"
	"fmt"
	"io/fs"
	"os/exec"
	"testing"

	"github.com/urfave/cli/v3"

	"milletbarrow/internal/agent"
	"milletbarrow/internal/supervisor"
)

// TestExitCodes: each kind of error has its exit code, its text is that of its cause alone, and errors.Is finds the
// cause.
func TestExitCodes(t *testing.T) {
	missing := &fs.PathError{Op: "open", Path: "/nowhere", Err: fs.ErrNotExist}
	failed := exec.CommandContext(t.Context(), "sh", "-c", "exit 5").Run()
	for name, test := range map[string]struct {
		err  error
		code int
		text string
	}{
		"none":                       {nil, 0, ""},
		"any":                        {errNoConfig, 1, "config: no file is given by GW_CONFIG or --config"},
		"no such command":            {&unknownCommandError{name: "dance"}, 1, `unknown command "dance"; help lists the commands`},
		"usage":                      {asUsageError(missing), 2, "open /nowhere: file does not exist"},
		"usage, wrapped":             {fmt.Errorf("x: %w", usagef("id: %w", missing)), 2, "x: id: open /nowhere: file does not exist"},
		"usage, joined":              {errors.Join(usagef("a"), nil), 2, "a"},
		"usage of a program's error": {asUsageError(failed), 2, "exit status 5"},
		"out of range":               {checkRange("most", 0, 1, 100_000), 2, "most: 0 is out of range: expected 1 to 100000"},
		"partial":                    {&outcomeError{outcome: outcomePartial}, 3, ""},
		"partial, with a text":       {outcomef(outcomePartial, "%d of %d", 1, 2), 3, "1 of 2"},
		"timed out":                  {&outcomeError{outcome: outcomeTimedOut}, 4, ""},
		"unreachable":                {&outcomeError{outcome: outcomeUnreachable, cause: missing}, 5, "open /nowhere: file does not exist"},
		"supervised already":         {supervisor.ErrLocked, agent.ExitSupervisorRunning, "another supervisor holds the instance"},
		"of the library":             {cli.Exit("no help topic", 7), 7, "no help topic"},
		"of a program that was run":  {fmt.Errorf("fleet start: %w", failed), 5, "fleet start: exit status 5"},
	} {
		if code := exitCode(test.err); code != test.code {
			t.Errorf("%s: exit code %d, want %d", name, code, test.code)
		}
		if test.err != nil && test.err.Error() != test.text {
			t.Errorf("%s: %q, want %q", name, test.err.Error(), test.text)
		}
	}
	for _, err := range []error{asUsageError(missing), usagef("id: %w", missing), &outcomeError{cause: missing}} {
		if !errors.Is(err, fs.ErrNotExist) {
			t.Errorf("%v: errors.Is does not find its cause", err)
		}
	}
	if asUsageError(nil) != nil || checkRange("most", 1, 1, 2) != nil || checkRange("most", 2, 1, 2) != nil || checkRange("most", 3, 1, 2) == nil {
		t.Error("asUsageError(nil) or checkRange returned a wrong result")
	}
}
