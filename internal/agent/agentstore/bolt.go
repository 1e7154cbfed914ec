package agentstore

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"
)

const (
	// closeTimeout bounds how long Close waits for calls in progress.
	closeTimeout = time.Second
	// lockTimeout bounds how long Open waits for the file lock of an agent that is shutting down.
	lockTimeout = 500 * time.Millisecond
)

// Permissions of the files and directories that Open creates. Other users of the host must not be able to read commands
// and who requested them.
const (
	directoryMode os.FileMode = 0o700
	fileMode      os.FileMode = 0o600
)

// Names inside the agent's directory.
const (
	fileName = "record.db"
	// supervisorDirectory contains the supervisors' files. The name must match the one in package supervisor.
	supervisorDirectory = "keepers"
)

// boltStore implements Store with a bbolt file.
type boltStore struct {
	db           *bbolt.DB
	path         string
	historyLimit int // maximum number of history entries
	// faulted is set after a page fault while reading the file. bbolt's locks may then never be released, so later
	// calls fail at once instead of waiting for them.
	faulted atomic.Bool
}

// Path returns the path of the store's file in an agent's directory.
func Path(dir string) string { return filepath.Join(dir, fileName) }

// Open opens the store in dir and creates the directory and the file if necessary. The store keeps at most historyLimit
// history entries. Open waits up to lockTimeout for another agent to close the store. It returns ErrLocked, ErrCorrupt,
// ErrNewerFormat, or an error of the file system.
func Open(dir string, historyLimit int) (Store, error) {
	if err := os.MkdirAll(filepath.Join(dir, supervisorDirectory), directoryMode); err != nil {
		return nil, err
	}
	s := &boltStore{path: Path(dir), historyLimit: historyLimit}
	if _, err := recoverFaults(ErrCorrupt, s.open); err != nil {
		return nil, s.wrap(err)
	}
	return s, nil
}

// open opens the file, checks that its content can be read, and creates missing buckets.
func (s *boltStore) open() error {
	db, err := bbolt.Open(s.path, fileMode, &bbolt.Options{Timeout: lockTimeout})
	if err != nil {
		return openError(err)
	}
	s.db = db
	if _, err := s.load(); err != nil {
		_ = s.close() // the error of load is the cause
		return err
	}
	if err := db.Update(initialize); err != nil {
		_ = s.close() // the error of Update is the cause
		return err
	}
	return nil
}

// openError maps an error of bbolt.Open to ErrLocked, an error of the file system, or ErrCorrupt.
func openError(err error) error {
	if errors.Is(err, bolterrors.ErrTimeout) {
		return ErrLocked
	}
	if systemError, ok := errors.AsType[syscall.Errno](err); ok {
		return systemError
	}
	return fmt.Errorf("%w: %w", ErrCorrupt, err)
}

// recoverFaults calls f and turns a page fault in it into an error that wraps kind. bbolt maps the file into memory,
// and accessing a page beyond the end of a truncated file faults.
func recoverFaults(kind error, f func() error) (faulted bool, err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if r := recover(); r != nil {
			faulted = true
			err = fmt.Errorf("%w: %v", kind, r)
		}
	}()
	return false, f()
}

// wrap adds the path of the store to a non-nil error.
func (s *boltStore) wrap(err error) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("agent store %s: %w", s.path, err)
}

func (s *boltStore) Close() error { return s.wrap(s.close()) }

func (s *boltStore) close() error {
	closed := make(chan error, 1)
	go func() { // never returns if a fault left a lock held; closing a truncated file may fault, too
		_, err := recoverFaults(ErrNotClosed, s.db.Close)
		closed <- err
	}()
	timeout := time.NewTimer(closeTimeout)
	defer timeout.Stop()
	select {
	case err := <-closed:
		return err
	case <-timeout.C:
		return fmt.Errorf("%w: close timed out after %v", ErrNotClosed, closeTimeout)
	}
}

func (s *boltStore) Load() (State, error) {
	state, err := s.load()
	return state, s.wrap(err)
}

func (s *boltStore) load() (State, error) {
	if s.faulted.Load() {
		return State{}, errFaulted
	}
	var state State
	faulted, err := recoverFaults(ErrCorrupt, func() error {
		return s.db.View(func(tx *bbolt.Tx) error { return readState(tx, &state) })
	})
	if faulted {
		s.faulted.Store(true)
	}
	return state, err
}

// errFaulted is returned by Load and Save after a call that faulted.
var errFaulted = fmt.Errorf("%w: an earlier read of the file faulted", ErrCorrupt)

func (s *boltStore) Save(c Change) error {
	if s.faulted.Load() {
		return s.wrap(errFaulted)
	}
	return s.wrap(s.db.Update(func(tx *bbolt.Tx) error { return writeChange(tx, &c, s.historyLimit) }))
}

// SetAside renames the file of a corrupted store, so that the agent can create a new one, and returns the new path.
func SetAside(dir string, now time.Time) (string, error) {
	to := Path(dir) + now.UTC().Format(".20060102T150405.damaged")
	return to, os.Rename(Path(dir), to)
}
