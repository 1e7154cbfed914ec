package main

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"milletbarrow/internal/fakes"
	"milletbarrow/internal/loadgen"
)

// TestDemo: from nothing to a drawn day, with a burst and a release in it, and nothing is left behind.
func TestDemo(t *testing.T) {
	dir := t.TempDir()
	cmd := exec.CommandContext(t.Context(), program, "demo", "--backends", "3", "--for", "6s", "--quiet", "--json", "--plot", filepath.Join(dir, "demo.svg"))
	cmd.Env = append(os.Environ(), "TMPDIR="+dir)
	out, err := cmd.Output()
	if err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	var r loadgen.Report
	if err := json.Unmarshal(out, &r); err != nil {
		t.Fatal(err)
	}
	if r.DuplicateAnswers+r.UnknownResults+r.Unsent > 0 || r.Requests == 0 || r.Value() < 0.5 {
		t.Errorf("value %.3f of %d asks, %d answers came twice, %d of no run, %d not sent", r.Value(), r.Requests, r.DuplicateAnswers, r.UnknownResults, r.Unsent)
	}
	for _, op := range r.Operations {
		if ends := op.Outcomes; ends[5] > 0 && op.Name == "pay-post" {
			t.Errorf("%s: %v: an invocation that was read has no answer in its time", op.Name, ends)
		}
	}
	left, err := os.ReadDir(dir)
	if err != nil || len(left) != 1 || left[0].Name() != "demo.svg" {
		t.Errorf("left behind: %v %v", left, err)
	}
}

// TestExperimentCommands: an experiment is run, run again, compared, drawn and replayed by the command line.
func TestExperimentCommands(t *testing.T) {
	tr := fakes.NewTrace(t)
	dir := t.TempDir()
	file := filepath.Join(dir, "x.sx")
	text := `(scenario day (for 2s) (hosts (count 3)) (nodes (count 2)) (load (at 1.3)))
(experiment small (policies milletbarrow pool) (seeds 1..6) (over load.at (values 0.5 1.5)))`
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	say := func(args ...string) {
		t.Helper()
		cmd := exec.CommandContext(t.Context(), program, append([]string{"lab"}, args...)...)
		var errs strings.Builder
		cmd.Stderr = &errs
		out, _ := cmd.Output()
		clean := strings.NewReplacer(dir, "DIR").Replace
		tr.Say("lab %s: exit %d\n%s%s", clean(strings.Join(args, " ")), cmd.ProcessState.ExitCode(), clean(string(out)), clean(errs.String()))
	}
	results := filepath.Join(dir, "results")
	say("compare", file, "--dir", results, "pool", "milletbarrow")
	say("run", file, "--dir", results, "--quiet")
	say("run", file, "--dir", results, "--quiet", "--over", "colour=3")
	say("compare", file, "--dir", results, "pool", "milletbarrow")
	say("compare", file, "--dir", results, "--measure", "pay-post.throttled", "milletbarrow", "pool")
	say("compare", file, "--dir", results, "--measure", "colour", "milletbarrow", "pool")
	say("compare", file, "--dir", results, "milletbarrow", "nobody")
	for _, what := range []string{"sweep", "time", "operations", "latency", "heat", "tenants", "colour"} {
		to := filepath.Join(dir, what+".svg")
		say("plot", file, "--dir", results, "--what", what, "--policy", "pool", "--to", to)
		raw, err := os.ReadFile(to)
		tr.Say("drawn: %t", err == nil && strings.Contains(string(raw), "</svg>"))
	}
	say("plot", file, "--dir", results, "--to", filepath.Join(dir, "x.txt"))
	say("replay", file, "--policy", "pool", "--seed", "2", "--invocation", "40", "--at", "1.5")
	say("replay", file)
	say("check", filepath.Join(dir, "none.sx"))
}
