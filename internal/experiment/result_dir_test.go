package experiment

import (
	"errors"
	"path/filepath"
	"testing"

	"milletbarrow/internal/simulation"
)

// TestResultDirHasOneWriterAndOneBuild checks that a directory can't be opened while another process writes to it, nor
// by another build.
func TestResultDirHasOneWriterAndOneBuild(t *testing.T) {
	path := t.TempDir()
	dir := openResultDir(t, path)
	write(t, dir, "k", &simulation.Result{Version: simulation.Version})
	if _, err := OpenResultDir(path, "b"); !errors.Is(err, ErrLocked) {
		t.Errorf("second writer: %v, want %v", err, ErrLocked)
	}
	if err := dir.Close(); err != nil {
		t.Fatal(err)
	}
	if _, err := OpenResultDir(path, "another build"); !errors.Is(err, ErrOtherBuild) {
		t.Errorf("another build: %v, want %v", err, ErrOtherBuild)
	}
	if err := openResultDir(t, path).Close(); err != nil {
		t.Fatal(err)
	}
}

func TestLoadRejectsResultOfNewerVersion(t *testing.T) {
	dir := openResultDir(t, t.TempDir())
	defer dir.Close()
	write(t, dir, "k", &simulation.Result{Version: simulation.Version + 1})
	if _, ok := dir.Load("k"); ok {
		t.Error("a result of a newer version is loaded")
	}
}

// TestReadResultErrorsAreTyped checks that errors distinguish a truncated result from one of a newer version, and
// name the file.
func TestReadResultErrorsAreTyped(t *testing.T) {
	dir := openResultDir(t, t.TempDir())
	defer dir.Close()
	const scenario = "a day with a name of some length"
	write(t, dir, "newer", &simulation.Result{Version: simulation.Version + 1, Scenario: scenario})
	write(t, dir, "truncated", &simulation.Result{Version: simulation.Version, Scenario: scenario})
	file := filepath.Join(dir.Dir, "truncated.run")
	truncate(t, file)
	var resultErr *ResultError
	_, err := ReadResult(file)
	if !errors.As(err, &resultErr) || resultErr.File != file || !errors.Is(err, ErrDamaged) {
		t.Errorf("truncated: %#v", err)
	}
	var versionErr *VersionError
	_, err = ReadResult(filepath.Join(dir.Dir, "newer.run"))
	if !errors.As(err, &versionErr) || versionErr.Version != simulation.Version+1 || errors.Is(err, ErrDamaged) {
		t.Errorf("newer: %#v", err)
	}
}
