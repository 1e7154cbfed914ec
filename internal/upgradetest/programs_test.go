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

// oldProgramVariable names a binary of the earlier release that is built already.
const oldProgramVariable = "MILLETBARROW_OLD"

// builds is the directory of the programs that the tests build.
var builds string

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	var err error
	if builds, err = os.MkdirTemp("", "upgradetest"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(builds) }()
	return m.Run()
}

// build compiles the command of a source tree.
func build(tree, binary string) error {
	command := exec.Command("go", "build", "-o", binary, "./cmd/milletbarrow")
	command.Dir = tree
	if output, err := command.CombinedOutput(); err != nil {
		return fmt.Errorf("build of %s: %w: %s", tree, err, output)
	}
	return nil
}

var newProgram = sync.OnceValues(func() (string, error) {
	binary := filepath.Join(builds, "new")
	return binary, build("../..", binary)
})

// oldProgram is the binary of the earlier release; empty where it can't be had.
var oldProgram = sync.OnceValues(func() (string, error) {
	if binary := os.Getenv(oldProgramVariable); binary != "" {
		return binary, nil
	}
	if exec.Command("git", "cat-file", "-e", compattest.Release+"^{commit}").Run() != nil {
		return "", nil
	}
	tree := filepath.Join(builds, "tree")
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
	binary := filepath.Join(builds, "old")
	return binary, build(tree, binary)
})

// programs returns both binaries, or skips the test where the earlier one can't be had.
func programs(t *testing.T) (earlier, current string) {
	t.Helper()
	earlier, err := oldProgram()
	if err != nil {
		t.Fatal(err)
	}
	if earlier == "" {
		t.Skipf("no program of %s: the history lacks that commit, and %s names no binary", compattest.Release, oldProgramVariable)
	}
	if current, err = newProgram(); err != nil {
		t.Fatal(err)
	}
	return earlier, current
}
