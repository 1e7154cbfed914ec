package agentstore

import (
	"errors"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.etcd.io/bbolt"
)

// TestTruncatedFileIsReadCompletelyOrReportedAsCorrupted checks that a file truncated at any offset is either read
// completely or reported as corrupted. The process must not crash, and Load must not return a partial or wrong state.
func TestTruncatedFileIsReadCompletelyOrReportedAsCorrupted(t *testing.T) {
	dir := t.TempDir()
	want := fillStore(t, dir, 60)
	complete, err := os.ReadFile(Path(dir))
	if err != nil {
		t.Fatal(err)
	}
	read, corrupted := 0, 0
	const step = 997 // odd, so that truncations fall at varying offsets within a page
	for size := 1; size < len(complete); size += step {
		truncated := t.TempDir()
		if err := os.WriteFile(Path(truncated), complete[:size], fileMode); err != nil {
			t.Fatal(err)
		}
		s, err := Open(truncated, testHistoryLimit)
		if err == nil {
			if diff := diffStates(t, want, load(t, s)); diff != "" {
				t.Fatalf("truncated to %d bytes: %s", size, diff)
			}
			read++
			s.Close()
			continue
		}
		if !errors.Is(err, ErrCorrupt) {
			t.Fatalf("truncated to %d bytes: %v, want ErrCorrupt", size, err)
		}
		corrupted++
	}
	if corrupted == 0 {
		t.Error("no truncated file was reported as corrupted")
	}
	t.Logf("%d bytes: %d truncated files read, %d corrupted", len(complete), read, corrupted)
}

// TestInvalidContentIsReportedAsCorrupted checks that a file with valid pages but invalid content is reported as
// corrupted.
func TestInvalidContentIsReportedAsCorrupted(t *testing.T) {
	put := func(bucket []byte, value string) func(*bbolt.Tx) error {
		return func(tx *bbolt.Tx) error { return tx.Bucket(bucket).Put([]byte("x"), []byte(value)) }
	}
	for name, change := range map[string]func(*bbolt.Tx) error{
		"no version":    func(tx *bbolt.Tx) error { return tx.Bucket(metaBucket).Delete(versionKey) },
		"short version": func(tx *bbolt.Tx) error { return tx.Bucket(metaBucket).Put(versionKey, []byte{1}) },
		"instance":      put(instancesBucket, "{"),
		"command":       put(commandsBucket, "7"),
		"intent":        put(intentsBucket, `{"id":7}`),
		"history":       put(historyBucket, ""),
	} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			fillStore(t, dir, 3)
			editFile(t, dir, change)
			_, err := Open(dir, testHistoryLimit)
			if !errors.Is(err, ErrCorrupt) || strings.Contains(err.Error(), "runtime error") {
				t.Fatalf("%v, want ErrCorrupt that is not caused by a fault", err)
			}
			if prefix := "agent store " + Path(dir) + ": file is corrupted: "; !strings.HasPrefix(err.Error(), prefix) {
				t.Errorf("%q, want the prefix %q", err, prefix)
			}
		})
	}
}

// TestLoadOfFileTruncatedWhileOpenReturnsError checks that Load returns an error and the process keeps running if the
// file was truncated to its meta pages while the store was open: access to the mapped pages beyond them faults.
func TestLoadOfFileTruncatedWhileOpenReturnsError(t *testing.T) {
	dir := t.TempDir()
	fillStore(t, dir, 60)
	s, err := Open(dir, testHistoryLimit)
	if err != nil {
		t.Fatal(err)
	}
	truncateFile(t, dir, 2*os.Getpagesize())
	if _, err := s.Load(); !errors.Is(err, ErrCorrupt) {
		t.Errorf("%v, want ErrCorrupt", err)
	}
	_ = s.Close() // the error is irrelevant here: closing may fault as well
}

// TestCallsReturnAfterFileIsEmptiedWhileOpen checks that Load reports a corrupted store if the file was truncated to
// zero bytes while open, and that later calls return. The fault leaves locks of bbolt held, which must block neither
// the loop nor the shutdown of the agent.
func TestCallsReturnAfterFileIsEmptiedWhileOpen(t *testing.T) {
	dir := t.TempDir()
	fillStore(t, dir, 60)
	s, err := Open(dir, testHistoryLimit)
	if err != nil {
		t.Fatal(err)
	}
	truncateFile(t, dir, 0)
	loadError := func() error {
		_, err := s.Load()
		return err
	}
	saveError := func() error { return s.Save(Change{BootID: "b2"}) }
	for _, test := range []struct {
		name string
		call func() error
		want error
	}{
		{"Load", loadError, ErrCorrupt},
		{"Save", saveError, ErrCorrupt},
		{"Load again", loadError, ErrCorrupt},
		{"Close", s.Close, ErrNotClosed},
	} {
		if err := callWithTimeout(t, test.name, test.call); !errors.Is(err, test.want) {
			t.Errorf("%s: %v, want %v", test.name, err, test.want)
		}
	}
	if _, err := SetAside(dir, time.Now()); err != nil {
		t.Fatal(err)
	}
	save(t, openStore(t, dir), Change{BootID: "b3"}) // the store that could not be closed does not lock the new file
}

// TestSystemErrorIsNotCorruption checks that an error of the file system is not reported as a corrupted store, because
// an operator would set such a store aside.
func TestSystemErrorIsNotCorruption(t *testing.T) {
	dir := t.TempDir()
	if err := os.Mkdir(Path(dir), directoryMode); err != nil {
		t.Fatal(err)
	}
	_, err := Open(dir, testHistoryLimit)
	if !errors.Is(err, syscall.EISDIR) || errors.Is(err, ErrCorrupt) || !strings.Contains(err.Error(), Path(dir)) {
		t.Errorf("%v, want EISDIR with the path", err)
	}
}
