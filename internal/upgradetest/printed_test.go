package upgradetest

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestPrintedByCommands: commands under the names of the earlier release print with --json what that release printed,
// to the byte. The files are those of the packages that read them.
func TestPrintedByCommands(t *testing.T) {
	program, err := newProgram()
	if err != nil {
		t.Fatal(err)
	}
	earlierFiles := func(pkg, file string) string { return filepath.Join("..", pkg, "testdata", "68176ef", file) }
	policy := earlierFiles("backend/degradation", "ladder.sx")
	experiment := earlierFiles("experiment", "experiment.sx")
	for _, c := range []struct {
		printed string
		args    []string
	}{
		{earlierFiles("backend/degradation", "levels-check.json"), []string{"levels", "check", policy, "--json"}},
		{earlierFiles("backend/degradation", "levels-replay.json"), []string{"levels", "replay", policy, earlierFiles("backend/degradation", "signals.txt"), "--json"}},
		{earlierFiles("experiment", "lab-check.json"), []string{"lab", "check", experiment, "--json"}},
		{earlierFiles("experiment", "lab-run.json"), []string{"lab", "run", experiment, "--dir", t.TempDir(), "--quiet", "--json"}},
		{earlierFiles("experiment", "lab-compare.json"), []string{"lab", "compare", experiment, "--dir", earlierFiles("experiment", "results"), "--json", "pool", "milletbarrow"}},
		{earlierFiles("faultinjection/harness", "report-printed.json"), []string{"trial", "report", earlierFiles("faultinjection/harness", "verdicts.jsonl"), "--json"}},
	} {
		want, err := os.ReadFile(c.printed)
		if err != nil {
			t.Fatal(err)
		}
		got, err := exec.Command(program, c.args...).Output()
		if err != nil {
			t.Errorf("%v: %v", c.args, err)
		}
		if diff := cmp.Diff(string(want), string(got)); diff != "" {
			t.Errorf("%v: printed by the earlier release (-), and now (+):\n%s", c.args, diff)
		}
	}
}
