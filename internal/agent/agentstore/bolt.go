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
	// closeTimeout is how long Close waits for calls in progress.
	closeTimeout = time.Second
	// lockTimeout is how long Open waits for an agent that is about to end.
	lockTimeout = 500 * time.Millisecond
)

// Modes of what Open creates: others on the host can't read commands and who requested them.
const (
	directoryMode os.FileMode = 0o700
	fileMode      os.FileMode = 0o600
)

// Names below the agent's directory.
const (
	fileName = "record.db"
	// supervisorDirectory has the files of the supervisors; package supervisor uses the same name.
	supervisorDirectory = "keepers"
)

// boltStore keeps the state in a bbolt file.
type boltStore struct {
	db           *bbolt.DB
	path         string
	historyLimit int // entries
	// faulted is set once reading the file has faulted. bbolt's locks may then be held forever, so that no later call
	// may wait for them.
	faulted atomic.Bool
}

// Path returns the path of the store's file in an agent's directory.
func Path(dir string) string { return filepath.Join(dir, fileName) }

// Open opens the store in dir, which it creates if necessary, and keeps at most historyLimit entries of history. It
// waits up to lockTimeout for another agent to close it. Errors are ErrLocked, ErrCorrupt, ErrNewerFormat, or those of
// the file system.
func Open(dir string, historyLimit int) (Store, error) {
	if err := os.MkdirAll(filepath.Join(dir, supervisorDirectory), directoryMode); err != nil {
		return nil, err
	}
	s := &boltStore{path: Path(dir), historyLimit: historyLimit}
	if _, err := guardFaults(ErrCorrupt, s.open); err != nil {
		return nil, s.wrap(err)
	}
	return s, nil
}

// open opens the file, checks that it can be read, and creates what it lacks.
func (s *boltStore) open() error {
	db, err := bbolt.Open(s.path, fileMode, &bbolt.Options{Timeout: lockTimeout})
	if err != nil {
		return openError(err)
	}
	s.db = db
	if _, err := s.load(); err != nil {
		_ = s.close() // the error of load says more
		return err
	}
	if err := db.Update(initialize); err != nil {
		_ = s.close() // as above
		return err
	}
	return nil
}

// openError tells a held lock and an error of the file system from a corrupted file.
func openError(err error) error {
	if errors.Is(err, bolterrors.ErrTimeout) {
		return ErrLocked
	}
	if systemError, ok := errors.AsType[syscall.Errno](err); ok {
		return systemError
	}
	return fmt.Errorf("%w: %w", ErrCorrupt, err)
}

// guardFaults calls f and reports whether it faulted; then the error wraps kind. bbolt maps the pages of the file, and
// reading a page faults if the file was truncated before it.
func guardFaults(kind error, f func() error) (faulted bool, err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if r := recover(); r != nil {
			faulted = true
			err = fmt.Errorf("%w: %v", kind, r)
		}
	}()
	return false, f()
}

// wrap adds the path of the store to an error; nil stays nil.
func (s *boltStore) wrap(err error) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("agent store %s: %w", s.path, err)
}

func (s *boltStore) Close() error { return s.wrap(s.close()) }

func (s *boltStore) close() error {
	closed := make(chan error, 1)
	go func() { // blocks forever if a fault left a lock held; closing a truncated file may fault too
		_, err := guardFaults(ErrNotClosed, s.db.Close)
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
	faulted, err := guardFaults(ErrCorrupt, func() error {
		return s.db.View(func(tx *bbolt.Tx) error { return readState(tx, &state) })
	})
	if faulted {
		s.faulted.Store(true)
	}
	return state, err
}

// errFaulted answers calls after one that faulted.
var errFaulted = fmt.Errorf("%w: reading it faulted before", ErrCorrupt)

func (s *boltStore) Save(c Change) error {
	if s.faulted.Load() {
		return s.wrap(errFaulted)
	}
	return s.wrap(s.db.Update(func(tx *bbolt.Tx) error { return writeChange(tx, &c, s.historyLimit) }))
}

// SetAside renames a corrupted store, so that the agent can begin a new one, and returns its new path.
func SetAside(dir string, now time.Time) (string, error) {
	to := Path(dir) + now.UTC().Format(".20060102T150405.damaged")
	return to, os.Rename(Path(dir), to)
}
