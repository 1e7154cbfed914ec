package agentstore

import (
	"encoding/binary"
	"encoding/json"
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

// formatVersion is that of the file. Files of older versions are read: fields that they lack are zero.
const formatVersion = 1

// closeTimeout is how long Close waits for calls that are under way.
const closeTimeout = time.Second

// lockTimeout is how long Open waits for an agent that is just ending.
const lockTimeout = 500 * time.Millisecond

// Modes of what Open creates: nobody else reads commands and their requesters.
const (
	directoryMode os.FileMode = 0o700
	fileMode      os.FileMode = 0o600
)

// Names of buckets and keys in the file.
var (
	metaBucket      = []byte("meta")
	instancesBucket = []byte("instances") // by name
	commandsBucket  = []byte("commands")  // by id
	intentsBucket   = []byte("intents")   // by id
	historyBucket   = []byte("history")   // by serial, big-endian
	versionKey      = []byte("version")
	bootKey         = []byte("boot")
)

// boltStore keeps the state in a bbolt file.
type boltStore struct {
	db           *bbolt.DB
	historyLimit int         // entries
	faulted      atomic.Bool // reading the file faulted: bbolt's locks may be held for good, so nothing may wait for them
}

// Path returns the store's file in an agent's directory.
func Path(dir string) string { return filepath.Join(dir, "record.db") }

// Open opens the store in dir, which it creates if necessary, and keeps at most historyLimit entries of history. It
// waits up to half a second for another agent to close it. Errors are ErrLocked, ErrCorrupt, ErrNewerFormat, or
// those of the file system.
func Open(dir string, historyLimit int) (store Store, err error) {
	if err := os.MkdirAll(filepath.Join(dir, "keepers"), directoryMode); err != nil {
		return nil, err
	}
	path := Path(dir)
	// bbolt maps the file's pages: where the file is truncated, reading a missing one faults.
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if r := recover(); r != nil {
			store, err = nil, fmt.Errorf("%w: %s: %v", ErrCorrupt, path, r)
		}
	}()
	db, err := bbolt.Open(path, fileMode, &bbolt.Options{Timeout: lockTimeout})
	if err != nil {
		return nil, openError(dir, path, err)
	}
	s := &boltStore{db: db, historyLimit: historyLimit}
	if _, err := s.Load(); err != nil {
		s.closeUnusable()
		return nil, err
	}
	if err := db.Update(initialize); err != nil {
		s.closeUnusable()
		return nil, err
	}
	return s, nil
}

// openError tells a lock that is held and an error of the system from damage.
func openError(dir, path string, err error) error {
	if errors.Is(err, bolterrors.ErrTimeout) {
		return fmt.Errorf("%w: %s", ErrLocked, dir)
	}
	if systemError, ok := errors.AsType[syscall.Errno](err); ok {
		return fmt.Errorf("%s: %w", path, systemError)
	}
	return fmt.Errorf("%w: %s: %w", ErrCorrupt, path, err)
}

// initialize creates what a new or older file lacks.
func initialize(tx *bbolt.Tx) error {
	for _, name := range [][]byte{metaBucket, instancesBucket, commandsBucket, intentsBucket, historyBucket} {
		if _, err := tx.CreateBucketIfNotExists(name); err != nil {
			return err
		}
	}
	return tx.Bucket(metaBucket).Put(versionKey, binary.BigEndian.AppendUint32(nil, formatVersion))
}

// closeUnusable closes a file that could not be loaded; errors add nothing to that of Load.
func (s *boltStore) closeUnusable() { _ = s.Close() }

func (s *boltStore) Close() error {
	closed := make(chan error, 1)
	go func() { // it waits for good where a fault left a lock held
		defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
		defer func() {
			if r := recover(); r != nil { // closing a damaged file may fault too
				closed <- fmt.Errorf("%w: %v", ErrNotClosed, r)
			}
		}()
		closed <- s.db.Close()
	}()
	timeout := time.NewTimer(closeTimeout)
	defer timeout.Stop()
	select {
	case err := <-closed:
		return err
	case <-timeout.C:
		return fmt.Errorf("%w: calls were under way for %v, or reading it faulted", ErrNotClosed, closeTimeout)
	}
}

func (s *boltStore) Load() (state State, err error) {
	if s.faulted.Load() {
		return State{}, errFaulted
	}
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if r := recover(); r != nil {
			s.faulted.Store(true)
			err = fmt.Errorf("%w: %v", ErrCorrupt, r)
		}
	}()
	err = s.db.View(func(tx *bbolt.Tx) error {
		meta := tx.Bucket(metaBucket)
		if meta == nil {
			return nil // a new file
		}
		if err := checkVersion(meta.Get(versionKey)); err != nil {
			return err
		}
		state.BootID = string(meta.Get(bootKey))
		return errors.Join(
			readBucket(tx, instancesBucket, &state.Instances),
			readBucket(tx, commandsBucket, &state.Commands),
			readBucket(tx, intentsBucket, &state.Intents),
			readBucket(tx, historyBucket, &state.History),
		)
	})
	return state, err
}

// errFaulted answers calls after one that faulted.
var errFaulted = fmt.Errorf("%w: reading it faulted before", ErrCorrupt)

func checkVersion(raw []byte) error {
	if len(raw) != 4 {
		return fmt.Errorf("%w: no version", ErrCorrupt)
	}
	if version := binary.BigEndian.Uint32(raw); version > formatVersion {
		return fmt.Errorf("%w: version %d, this one knows %d", ErrNewerFormat, version, formatVersion)
	}
	return nil
}

// readBucket appends the values of a bucket to a list, in the order of their keys.
func readBucket[V any](tx *bbolt.Tx, name []byte, list *[]V) error {
	bucket := tx.Bucket(name)
	if bucket == nil {
		return nil // not known to the build that wrote the file
	}
	return bucket.ForEach(func(key, raw []byte) error {
		var value V
		if err := json.Unmarshal(raw, &value); err != nil {
			return fmt.Errorf("%w: %s %q: %w", ErrCorrupt, name, key, err)
		}
		*list = append(*list, value)
		return nil
	})
}

func (s *boltStore) Save(c Change) error {
	if s.faulted.Load() {
		return errFaulted
	}
	return s.db.Update(func(tx *bbolt.Tx) error {
		var errs []error
		if c.BootID != "" {
			errs = append(errs, tx.Bucket(metaBucket).Put(bootKey, []byte(c.BootID)))
		}
		for _, in := range c.Instances {
			errs = append(errs, putJSON(tx, instancesBucket, []byte(in.Name), in))
		}
		return errors.Join(append(errs, saveCommands(tx, &c), s.appendHistory(tx, c.History))...)
	})
}

// saveCommands writes the commands and intents of a change.
func saveCommands(tx *bbolt.Tx, c *Change) error {
	var errs []error
	for _, command := range c.Commands {
		errs = append(errs, putJSON(tx, commandsBucket, []byte(command.ID), command))
	}
	for _, id := range c.DeletedCommands {
		errs = append(errs, tx.Bucket(commandsBucket).Delete([]byte(id)))
	}
	if c.Intent != nil {
		errs = append(errs, putJSON(tx, intentsBucket, []byte(c.Intent.ID), c.Intent))
	}
	for _, id := range c.CompletedIntents {
		errs = append(errs, tx.Bucket(intentsBucket).Delete([]byte(id)))
	}
	return errors.Join(errs...)
}

// appendHistory writes new entries and deletes those that are too old.
func (s *boltStore) appendHistory(tx *bbolt.Tx, entries []Entry) error {
	if len(entries) == 0 {
		return nil
	}
	var errs []error
	for _, entry := range entries {
		errs = append(errs, putJSON(tx, historyBucket, binary.BigEndian.AppendUint64(nil, entry.Serial), entry))
	}
	last := entries[len(entries)-1].Serial
	if last <= uint64(s.historyLimit) {
		return errors.Join(errs...)
	}
	lastDeleted := last - uint64(s.historyLimit)
	cursor := tx.Bucket(historyBucket).Cursor()
	for key, _ := cursor.First(); key != nil && binary.BigEndian.Uint64(key) <= lastDeleted; key, _ = cursor.First() {
		errs = append(errs, cursor.Delete())
	}
	return errors.Join(errs...)
}

func putJSON(tx *bbolt.Tx, bucket, key []byte, value any) error {
	raw, err := json.Marshal(value)
	if err != nil {
		return err
	}
	return tx.Bucket(bucket).Put(key, raw)
}

// SetAside renames a damaged store, so that the agent can begin a new one, and returns the new path.
func SetAside(dir string, now time.Time) (string, error) {
	to := Path(dir) + now.UTC().Format(".20060102T150405.damaged")
	return to, os.Rename(Path(dir), to)
}
