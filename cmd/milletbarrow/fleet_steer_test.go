package main

import (
	"errors"
	"os/exec"
	"strings"
	"testing"
)

// TestSteerWantsOneCommand: the commands that act on a fleet command take one id, and name what is wrong with any
// other.
func TestSteerWantsOneCommand(t *testing.T) {
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
