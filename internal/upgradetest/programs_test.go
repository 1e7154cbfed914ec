package upgradetest

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"

	"milletbarrow/internal/compattest"
)

// earlierProgramVariable is the environment variable with the path of a binary of the earlier release.
const earlierProgramVariable = "MILLETBARROW_OLD"

// buildDir is the directory of the binaries that the tests build.
var buildDir string

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	var err error
	if buildDir, err = os.MkdirTemp("", "upgradetest"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(buildDir) }()
	return m.Run()
}

// build compiles the program of a source tree.
func build(tree, binary string) error {
	command := exec.Command("go", "build", "-o", binary, "./cmd/milletbarrow")
	command.Dir = tree
	if output, err := command.CombinedOutput(); err != nil {
		return fmt.Errorf("building %s: %w: %s", tree, err, output)
	}
	return nil
}

// currentProgram builds the program of this tree once and returns the path of its binary.
var currentProgram = sync.OnceValues(func() (string, error) {
	binary := filepath.Join(buildDir, "new")
	return binary, build("../..", binary)
})

// earlierProgram returns the path of the binary of the earlier release, which it builds once unless the environment
// names one; empty if the repository's history lacks the commit.
var earlierProgram = sync.OnceValues(func() (string, error) {
	if binary := os.Getenv(earlierProgramVariable); binary != "" {
		return binary, nil
	}
	if exec.Command("git", "cat-file", "-e", compattest.Release+"^{commit}").Run() != nil {
		return "", nil
	}
	tree := filepath.Join(buildDir, "tree")
	if err := os.Mkdir(tree, 0o700); err != nil {
		return "", err
	}
	var archive bytes.Buffer
	export := exec.Command("git", "archive", "--format=tar", compattest.Release, "--", "go.mod", "go.sum", "*.go")
	export.Dir, export.Stdout = "../..", &archive
	if err := export.Run(); err != nil {
		return "", fmt.Errorf("git archive %s: %w", compattest.Release, err)
	}
	extract := exec.Command("tar", "-x", "-C", tree)
	extract.Stdin = &archive
	if output, err := extract.CombinedOutput(); err != nil {
		return "", fmt.Errorf("tar: %w: %s", err, output)
	}
	binary := filepath.Join(buildDir, "old")
	return binary, build(tree, binary)
})

// programs returns the paths of both binaries, or skips the test if the earlier one is not available.
func programs(t *testing.T) (earlier, current string) {
	t.Helper()
	earlier, err := earlierProgram()
	if err != nil {
		t.Fatal(err)
	}
	if earlier == "" {
		t.Skipf("no binary of release %s: the repository's history lacks that commit, and %s is not set", compattest.Release, earlierProgramVariable)
	}
	if current, err = currentProgram(); err != nil {
		t.Fatal(err)
	}
	return earlier, current
}
