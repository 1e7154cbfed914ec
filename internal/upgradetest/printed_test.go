package upgradetest

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestCommandsPrintJSONOfEarlierRelease checks that commands under their former names print with --json the same bytes
// as the earlier release. The expected output is in the testdata of the packages that read it.
func TestCommandsPrintJSONOfEarlierRelease(t *testing.T) {
	program, err := currentProgram()
	if err != nil {
		t.Fatal(err)
	}
	earlierFiles := func(pkg, file string) string { return filepath.Join("..", pkg, "testdata", "68176ef", file) }
	policy := earlierFiles("backend/degradation", "ladder.sx")
	experiment := earlierFiles("experiment", "experiment.sx")
	for _, c := range []struct {
		goldenFile string
		args       []string
	}{
		{earlierFiles("backend/degradation", "levels-check.json"), []string{"levels", "check", policy, "--json"}},
		{earlierFiles("backend/degradation", "levels-replay.json"), []string{"levels", "replay", policy, earlierFiles("backend/degradation", "signals.txt"), "--json"}},
		{earlierFiles("experiment", "lab-check.json"), []string{"lab", "check", experiment, "--json"}},
		{earlierFiles("experiment", "lab-run.json"), []string{"lab", "run", experiment, "--dir", t.TempDir(), "--quiet", "--json"}},
		{earlierFiles("experiment", "lab-compare.json"), []string{"lab", "compare", experiment, "--dir", earlierFiles("experiment", "results"), "--json", "pool", "milletbarrow"}},
		{earlierFiles("faultinjection/harness", "report-printed.json"), []string{"trial", "report", earlierFiles("faultinjection/harness", "verdicts.jsonl"), "--json"}},
	} {
		want, err := os.ReadFile(c.goldenFile)
		if err != nil {
			t.Fatal(err)
		}
		got, err := exec.Command(program, c.args...).Output()
		if err != nil {
			t.Errorf("%v: %v", c.args, err)
		}
		if diff := cmp.Diff(string(want), string(got)); diff != "" {
			t.Errorf("%v: output differs from that of the earlier release (-earlier +current):\n%s", c.args, diff)
		}
	}
}
