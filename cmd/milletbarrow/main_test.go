package main

import (
	"bytes"
	"context"
	"debug/elf"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"

	"milletbarrow/internal/fakes"
	"milletbarrow/internal/limits"
)

var program string

// TestMain builds the program that the tests start, with the build command of the deployment file.
func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "milletbarrow")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(dir, "milletbarrow")
	build := exec.CommandContext(context.Background(), "sh", "-c", strings.Replace(deployed("build"), "-o bin/", "-o '"+dir+"/'", 1))
	build.Dir = "../.."
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// deployed returns a value of the deployment file.
func deployed(key string) string {
	raw, _ := os.ReadFile("../../deploy/balancer.toml")
	_, line, _ := strings.Cut(string(raw), key+` = "`)
	line, _, _ = strings.Cut(line, `"`)
	return line
}

// TestProgramLinksCLibrary: the platform's tests preload a library into the process and follow that one process, so the
// program has to link the C library and run without a shell around it.
func TestProgramLinksCLibrary(t *testing.T) {
	file, err := elf.Open(program)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	needs, err := file.ImportedLibraries()
	if err != nil || !slices.ContainsFunc(needs, func(lib string) bool { return strings.HasPrefix(lib, "libc.so") }) {
		t.Errorf("%s: imported libraries %v, %v: no C library", deployed("build"), needs, err)
	}
	if run := deployed("run"); run != "exec bin/milletbarrow" {
		t.Errorf("run: %q does not replace the shell by the program", run)
	}
}

func TestCheckAndServeReportConfigurationErrors(t *testing.T) {
	tr := fakes.NewTrace(t)
	for _, edit := range []string{
		"", `"n3"=>""`, `"8c1f30d27a5be964"=>7`, `8c1f30d27a5be964=>xyz`, `"listen":"127.0.0.1:1"=>"listen":"here"`,
		`"agent":"127.0.0.1:2"=>"agent":"127.0.0.1"`, `"roster":"127.0.0.1:3"=>"roster":""`, `1500=>-1`, `"cores":1.0=>"cores":0`,
		`192=>"much"`, `1024=>0`, `"settings"=>"other"`, `"n_cores":2=>"n_cores":0`, `"repeat":"at_most_once"=>"repeat":"maybe"`,
		`"post"=>"look"`, `"look"=>"lo ok"`, `"zenith"=>"acme"`, `"below":"off"=>"below":"tier"`, `"say":"off"=>"say":"floor"`,
		`"preemption":"off"=>"preemption":"freeze"`, `"say":"off"=>"say":"loud"`, `"preemption":"off","run_factor":8,"say":"off"=>"preemption":"discard","run_factor":8,"say":"weight","fresh_ms":2000`,
		`"aim_ms":2000=>"aim_ms":0`, `"mem_limit_kb":90000=>"mem_limit_kb":-1`,
		`{"name"=>{{`,
	} {
		from, to, _ := strings.Cut(edit, "=>")
		if from == "" {
			from, to = "unchanged", "unchanged"
		}
		file := configFile(t, "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", from, to)
		out, err := exec.CommandContext(t.Context(), program, "check", "--config", file).CombinedOutput()
		tr.Say("check %s: %v, %s", edit, err, strings.TrimSpace(string(out)))
		if err != nil { // serve must fail with the same output
			cmd := exec.CommandContext(t.Context(), program)
			cmd.Env = append(os.Environ(), "GW_CONFIG="+file)
			if again, err := cmd.CombinedOutput(); err == nil || !bytes.Equal(again, out) {
				tr.Say("  serve: %v, %s", err, again)
			}
		}
	}
	out, err := exec.CommandContext(t.Context(), program, "version").CombinedOutput()
	tr.Say("version: %v, well formed %t", err, regexp.MustCompile(`^milletbarrow revision \w+, go`).Match(out))
	out, err = exec.CommandContext(t.Context(), program, "check", "--config", "/nowhere").CombinedOutput()
	tr.Say("no file: %v, %s", err, out)
	out, err = exec.CommandContext(t.Context(), program, "dance").CombinedOutput()
	tr.Say("no such command: %v, %s", err, out)
}

// TestLimitsPrintsNamesOfEarlierReleases: bounds are printed under the names of earlier releases, and each such name
// belongs to an existing field.
func TestLimitsPrintsNamesOfEarlierReleases(t *testing.T) {
	tr := fakes.NewTrace(t)
	file := configFile(t, "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3")
	out, err := exec.CommandContext(t.Context(), program, "limits", "--config", file).CombinedOutput()
	tr.Say("%s%v", out, err)
	for field := range printedBounds {
		if _, ok := reflect.TypeFor[limits.Bounds]().FieldByName(field); !ok {
			t.Errorf("%s is not a field of the bounds", field)
		}
	}
}

// TestDeploymentExamplesAreValid: the example files under deploy/ are valid.
func TestDeploymentExamplesAreValid(t *testing.T) {
	for _, args := range [][]string{
		{"levels", "check", "../../deploy/degradation.sx"}, {"fleet", "check", "--fleet", "../../deploy/fleet.sx"},
	} {
		if out, err := exec.CommandContext(t.Context(), program, args...).CombinedOutput(); err != nil {
			t.Errorf("%v: %v: %s", args, err, out)
		}
	}
}

// TestFleetCheckPrintsFormerNames: fleet check prints a line for each former name in a fleet file, with its place and
// the current name.
func TestFleetCheckPrintsFormerNames(t *testing.T) {
	const file = "../../internal/fleet/testdata/6251f7b/fleet.sx"
	out, err := exec.CommandContext(t.Context(), program, "fleet", "check", "--fleet", file).CombinedOutput()
	if err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	for _, warning := range []string{
		file + `:8:4: "budgets" is a former name: write "quotas"`,
		file + `:8:25: "ledger" is a former name: write "quota-store"`,
		file + `:15:4: "wave" is a former name: write "rolling-update"`,
	} {
		if strings.Count(string(out), warning+"\n") != 1 {
			t.Errorf("no line %s in\n%s", warning, out)
		}
	}
	if n := strings.Count(string(out), "is a former name"); n != 14 {
		t.Errorf("%d former names, want 14:\n%s", n, out)
	}
}
