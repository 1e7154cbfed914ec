package main

import (
	"errors"
	"os/exec"
	"strings"
	"testing"
)

// TestSteerRequiresOneCommandID: pause, resume and cancel reject several IDs and an invalid ID with a usage error that
// names the fault.
func TestSteerRequiresOneCommandID(t *testing.T) {
	for _, name := range []string{"pause", "resume", "cancel"} {
		for _, c := range []struct {
			ids  []string
			want string
		}{
			{[]string{"a", "b"}, "milletbarrow: expected the ID of one command: 2 are given\n"},
			{[]string{"a/b"}, "milletbarrow: expected the ID of one command: "},
		} {
			args := append([]string{"fleet", name, "--fleet", "../../deploy/fleet.sx"}, c.ids...)
			out, err := exec.CommandContext(t.Context(), program, args...).CombinedOutput()
			exit, ok := errors.AsType[*exec.ExitError](err)
			if !ok || exit.ExitCode() != exitUsage || !strings.HasPrefix(string(out), c.want) || strings.Contains(string(out), "%!") {
				t.Errorf("%v: %v, %q", args, err, out)
			}
		}
	}
}
