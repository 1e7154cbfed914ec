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

// TestDemoPlotsDayAndCleansUp runs the demo with its burst and rolling update; it plots the day and leaves no other
// file behind.
func TestDemoPlotsDayAndCleansUp(t *testing.T) {
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
		t.Errorf("value %.3f of %d requests, %d duplicate answers, %d answers of unknown runs, %d not sent", r.Value(), r.Requests, r.DuplicateAnswers, r.UnknownResults, r.Unsent)
	}
	for _, op := range r.Operations {
		if outcomes := op.Outcomes; outcomes[5] > 0 && op.Name == "pay-post" {
			t.Errorf("%s: %v: an invocation that was read was not answered in time", op.Name, outcomes)
		}
	}
	left, err := os.ReadDir(dir)
	if err != nil || len(left) != 1 || left[0].Name() != "demo.svg" {
		t.Errorf("left behind: %v %v", left, err)
	}
}

// TestExperimentCommands records the output and exit codes of running, comparing, plotting and replaying an experiment.
func TestExperimentCommands(t *testing.T) {
	tr := fakes.NewTrace(t)
	dir := t.TempDir()
	file := filepath.Join(dir, "x.sx")
	text := `(scenario day (for 2s) (hosts (count 3)) (nodes (count 2)) (load (at 1.3)))
(experiment small (policies milletbarrow pool) (seeds 1..6) (over load.at (values 0.5 1.5)))`
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	run := func(args ...string) {
		t.Helper()
		cmd := exec.CommandContext(t.Context(), program, append([]string{"lab"}, args...)...)
		var errs strings.Builder
		cmd.Stderr = &errs
		out, _ := cmd.Output()
		clean := strings.NewReplacer(dir, "DIR").Replace
		tr.Say("lab %s: exit %d\n%s%s", clean(strings.Join(args, " ")), cmd.ProcessState.ExitCode(), clean(string(out)), clean(errs.String()))
	}
	results := filepath.Join(dir, "results")
	run("compare", file, "--dir", results, "pool", "milletbarrow")
	run("run", file, "--dir", results, "--quiet")
	run("run", file, "--dir", results, "--quiet", "--over", "colour=3")
	run("compare", file, "--dir", results, "pool", "milletbarrow")
	run("compare", file, "--dir", results, "--measure", "pay-post.throttled", "milletbarrow", "pool")
	run("compare", file, "--dir", results, "--measure", "colour", "milletbarrow", "pool")
	run("compare", file, "--dir", results, "milletbarrow", "nobody")
	for _, what := range []string{"sweep", "time", "operations", "latency", "heat", "tenants", "colour"} {
		to := filepath.Join(dir, what+".svg")
		run("plot", file, "--dir", results, "--what", what, "--policy", "pool", "--to", to)
		raw, err := os.ReadFile(to)
		tr.Say("drawn: %t", err == nil && strings.Contains(string(raw), "</svg>"))
	}
	run("plot", file, "--dir", results, "--to", filepath.Join(dir, "x.txt"))
	run("replay", file, "--policy", "pool", "--seed", "2", "--invocation", "40", "--at", "1.5")
	run("replay", file)
	run("check", filepath.Join(dir, "none.sx"))
}
