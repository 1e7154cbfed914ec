package main

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"milletbarrow/internal/backend/admin"
	"milletbarrow/internal/fakes"
	"milletbarrow/internal/limits"
)

// TestDegradationLevelThrottlesItsOperations runs a backend with a degradation policy. A long queue enters the level,
// whose operation is throttled on arrival while the other is served. The admin socket shows the level and can override
// it for a limited time.
func TestDegradationLevelThrottlesItsOperations(t *testing.T) {
	tr := fakes.NewTrace(t)
	dir, err := os.MkdirTemp("", "mb")
	if err != nil {
		t.Fatal(err)
	}
	defer os.RemoveAll(dir)
	file, socket := filepath.Join(dir, "policy.sx"), filepath.Join(dir, "s")
	write := func(text string) {
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	const text = `(degradation small (smoothing (queue 50ms)) (level no-look (shed (operations look)) (enter (queue 3 100ms)) (exit (queue 2 5s))))`
	write(text)
	b := prepare(t)
	b.args = []string{"serve", "--levels", file, "--inspect", socket}
	b.start().ready()
	client := admin.NewClient(socket, limits.ForControl())
	defer client.Close()
	state := func() admin.State {
		s, err := client.State(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		return s
	}
	tr.Say("%s %s", state().DegradationPolicy, state().Level)
	// A long queue on cores that are not busy, so that the dispatcher still admits.
	b.executor.With(func(_, gauges *string) { *gauges = "0.5 9 0.1 1" })
	fakes.Until(t, "the level is entered", func() bool { return state().Level == "no-look" })
	fakes.Until(t, "the level is logged", b.logged("event=degradation_level from=full to=no-look collapse=false cause="))
	tr.Say("logged: true")
	b.executor.With(func(_, gauges *string) { *gauges = "0.1 0 0.1 1" })
	n := fakes.Dial(t, b.address)
	n.Send(fakes.Invocation(1, 1))
	f := n.Expect()
	tr.Say("look: %d, with a Retry-After %t", f.Code, strings.Contains(f.Fields, "after="))
	n.Send(fakes.Invocation(2, 2, "class=post"))
	l := fakes.Take(t, "a launch", b.executor.Launches)
	b.executor.End(l.ID, "complete", "paid")
	tr.Say("post: %v", n.Expect())
	tr.Say("%v", client.Override(t.Context(), admin.Override{Level: "no-such", Duration: 1_000_000}))
	tr.Say("%v", client.Override(t.Context(), admin.Override{Level: "full", Duration: 60_000_000, By: "test"}))
	fakes.Until(t, "the override is in force", func() bool { return state().Level == "full" })
	n.Send(fakes.Invocation(3, 3))
	l = fakes.Take(t, "a launch", b.executor.Launches)
	b.executor.End(l.ID, "complete", "seen")
	tr.Say("look: %v", n.Expect())
	tr.Say("shed %d", state().Shed)
	write("(degradation small")
	b.cmd.Process.Signal(syscall.SIGHUP)
	fakes.Until(t, "the bad policy is logged", b.logged("event=reload_degradation used=false"))
	write(strings.Replace(text, "small", "other", 1))
	b.cmd.Process.Signal(syscall.SIGHUP)
	fakes.Until(t, "the new policy is in force", func() bool { return state().DegradationPolicy == "other" })
}

// TestDegradationCommands records the output and exit codes of the degradation sub-commands.
func TestDegradationCommands(t *testing.T) {
	tr := fakes.NewTrace(t)
	dir := t.TempDir()
	write := func(name, text string) string {
		file := filepath.Join(dir, name)
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return file
	}
	good := write("good.sx", `(degradation g (level a (shed (operations look)) (enter (queue 2 1s)) (exit (queue 1 2s)) (min-duration 5s)) (change-interval 5s) (recovery-ramp 1s))`)
	bad := write("bad.sx", `(degradation g (level a (shed) (enter (queue 2)) (exit (queue 3))))`)
	var trace strings.Builder
	for n := range 300 {
		q := 0.5
		if n >= 50 && n < 120 {
			q = 3
		}
		fmt.Fprintf(&trace, "%d queue=%v\n", 1000+n*100_000, q)
	}
	signals, broken := write("signals.txt", trace.String()), write("broken.txt", "5 queue=1\n5 queue=1\n")
	config := configFile(t, "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3")
	run := func(args ...string) {
		out, err := exec.CommandContext(t.Context(), program, append([]string{"levels"}, args...)...).CombinedOutput()
		tr.Say("%s", strings.ReplaceAll(fmt.Sprintf("$ levels %s\n%s%v", strings.Join(args, " "), out, err), dir, "DIR"))
	}
	run("check", good)
	run("check", bad)
	run("check", filepath.Join(dir, "none"))
	run("replay", good, signals, "--plot", filepath.Join(dir, "x.svg"))
	run("replay", good, signals, "--json")
	run("replay", good, broken)
	run("replay", good, signals, "--plot", filepath.Join(dir, "x.gif"))
	run("pin", "--socket", filepath.Join(dir, "none"))
	if out, err := exec.CommandContext(t.Context(), program, "levels", "check", good, "--config", config).CombinedOutput(); err != nil {
		t.Errorf("%v: %s", err, out)
	}
	if raw, err := os.ReadFile(filepath.Join(dir, "x.svg")); err != nil || !bytes.Contains(raw, []byte("</svg>")) {
		t.Errorf("the plot: %v, %d bytes", err, len(raw))
	}
}
