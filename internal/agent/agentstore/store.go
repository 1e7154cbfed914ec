// Package agentstore is what an agent writes down: intents before they are acted on, results after, and the history.
// It owns the file and its format; what stands in it is decided elsewhere.
package agentstore

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime/debug"
	"syscall"
	"time"

	"go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"

	"milletbarrow/internal/fleet"
)

// Entry is a line of history.
type Entry struct {
	Serial     uint64 `json:"serial"` // from 1, without gaps but for what was forgotten
	UnixMicros int64  `json:"unix_us"`
	fleet.HistoryEvent
}

// State is everything that the store holds.
type State struct {
	fleet.Snapshot
	BootID  string           // the run of the machine that its times are of; empty: nothing was written yet
	Intents []*fleet.Command // taken from a client and not yet decided on
	History []Entry          // oldest first
}

// Change is written whole or not at all.
type Change struct {
	fleet.Snapshot
	DeletedCommands  []string       // commands to forget
	Intent           *fleet.Command // to be written before it is decided on
	CompletedIntents []string       // intents that have been
	History          []Entry
	BootID           string // if it is another
}

// Empty tells whether there is nothing to write.
func (c *Change) Empty() bool {
	return len(c.Instances)+len(c.Commands)+len(c.DeletedCommands)+len(c.CompletedIntents)+len(c.History) == 0 && c.Intent == nil && c.BootID == ""
}

// Store keeps the record. After an error nothing of that change may be there; another may be tried.
type Store interface {
	Load() (State, error)
	Save(Change) error
	Close() error
}

// Errors of Open that a person has to deal with.
var (
	ErrLocked      = errors.New("another agent has this directory")
	ErrCorrupt     = errors.New("the record is damaged")
	ErrNewerFormat = errors.New("the record was written by a newer build")
)

// version of the format. Records of older ones are read: fields that they lack are zero.
const version = 1

var (
	metaBucket      = []byte("meta")
	instancesBucket = []byte("instances")
	commandsBucket  = []byte("commands")
	intentsBucket   = []byte("intents")
	historyBucket   = []byte("history")
	versionKey      = []byte("version")
	bootKey         = []byte("boot")
)

type file struct {
	db   *bbolt.DB
	most int // entries of history
}

// Path is the record's file in an agent's directory.
func Path(dir string) string { return filepath.Join(dir, "record.db") }

// Open opens the record in dir, which it makes if it has to, and keeps at most so many lines of history. It waits
// a moment for an agent that is just ending.
func Open(dir string, history int) (s Store, err error) {
	if err := os.MkdirAll(filepath.Join(dir, "keepers"), 0o700); err != nil {
		return nil, err
	}
	path := Path(dir)
	// A file cut short is found by reading all of it: its pages are mapped, and one that is missing faults.
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if r := recover(); r != nil {
			s, err = nil, fmt.Errorf("%w: %s: %v", ErrCorrupt, path, r)
		}
	}()
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: 500 * time.Millisecond})
	switch {
	case errors.Is(err, bolterrors.ErrTimeout):
		return nil, fmt.Errorf("%w: %s", ErrLocked, dir)
	case err != nil:
		if sys, ok := errors.AsType[syscall.Errno](err); ok {
			return nil, fmt.Errorf("%s: %w", path, sys)
		}
		return nil, fmt.Errorf("%w: %s: %v", ErrCorrupt, path, err)
	}
	f := &file{db: db, most: history}
	if _, err := f.Load(); err != nil {
		f.abandon()
		return nil, err
	}
	err = db.Update(func(tx *bbolt.Tx) error {
		for _, name := range [][]byte{metaBucket, instancesBucket, commandsBucket, intentsBucket, historyBucket} {
			if _, err := tx.CreateBucketIfNotExists(name); err != nil {
				return err
			}
		}
		return tx.Bucket(metaBucket).Put(versionKey, binary.BigEndian.AppendUint32(nil, version))
	})
	if err != nil {
		f.abandon()
		return nil, err
	}
	return f, nil
}

// abandon closes a file that could not be used; what is damaged may fault once more.
func (f *file) abandon() {
	defer func() { recover() }()
	f.db.Close()
}

func (f *file) Close() error { return f.db.Close() }

// Load reads all.
func (f *file) Load() (s State, err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("%w: %v", ErrCorrupt, r)
		}
	}()
	err = f.db.View(func(tx *bbolt.Tx) error {
		meta := tx.Bucket(metaBucket)
		if meta == nil {
			return nil // a new file
		}
		if v := meta.Get(versionKey); len(v) != 4 {
			return fmt.Errorf("%w: no version", ErrCorrupt)
		} else if n := binary.BigEndian.Uint32(v); n > version {
			return fmt.Errorf("%w: version %d, this one knows %d", ErrNewerFormat, n, version)
		}
		s.BootID = string(meta.Get(bootKey))
		return errors.Join(
			each(tx, instancesBucket, func(_ []byte, in fleet.Instance) { s.Instances = append(s.Instances, in) }),
			each(tx, commandsBucket, func(_ []byte, c *fleet.Command) { s.Commands = append(s.Commands, c) }),
			each(tx, intentsBucket, func(_ []byte, c *fleet.Command) { s.Intents = append(s.Intents, c) }),
			each(tx, historyBucket, func(_ []byte, e Entry) { s.History = append(s.History, e) }),
		)
	})
	return s, err
}

func each[V any](tx *bbolt.Tx, bucket []byte, take func([]byte, V)) error {
	b := tx.Bucket(bucket)
	if b == nil {
		return nil
	}
	return b.ForEach(func(k, raw []byte) error {
		var v V
		if err := json.Unmarshal(raw, &v); err != nil {
			return fmt.Errorf("%w: %s %q: %v", ErrCorrupt, bucket, k, err)
		}
		take(k, v)
		return nil
	})
}

// Save writes a change; it is on the disk when Save returns nil.
func (f *file) Save(c Change) error {
	return f.db.Update(func(tx *bbolt.Tx) error {
		put := func(bucket []byte, key string, v any) error {
			raw, err := json.Marshal(v)
			if err != nil {
				return err
			}
			return tx.Bucket(bucket).Put([]byte(key), raw)
		}
		var errs []error
		if c.BootID != "" {
			errs = append(errs, tx.Bucket(metaBucket).Put(bootKey, []byte(c.BootID)))
		}
		for _, in := range c.Instances {
			errs = append(errs, put(instancesBucket, in.Name, in))
		}
		for _, cmd := range c.Commands {
			errs = append(errs, put(commandsBucket, cmd.ID, cmd))
		}
		for _, id := range c.DeletedCommands {
			errs = append(errs, tx.Bucket(commandsBucket).Delete([]byte(id)))
		}
		if c.Intent != nil {
			errs = append(errs, put(intentsBucket, c.Intent.ID, c.Intent))
		}
		for _, id := range c.CompletedIntents {
			errs = append(errs, tx.Bucket(intentsBucket).Delete([]byte(id)))
		}
		history := tx.Bucket(historyBucket)
		for _, e := range c.History {
			raw, err := json.Marshal(e)
			errs = append(errs, err, history.Put(binary.BigEndian.AppendUint64(nil, e.Serial), raw))
		}
		if n := len(c.History); n > 0 && c.History[n-1].Serial > uint64(f.most) {
			until := c.History[n-1].Serial - uint64(f.most)
			cursor := history.Cursor()
			for k, _ := cursor.First(); k != nil && binary.BigEndian.Uint64(k) <= until; k, _ = cursor.First() {
				errs = append(errs, cursor.Delete())
			}
		}
		return errors.Join(errs...)
	})
}

// SetAside moves a damaged record away, so that the agent can begin a new one; it tells where it is now.
func SetAside(dir string, now time.Time) (string, error) {
	to := Path(dir) + now.UTC().Format(".20060102T150405.damaged")
	return to, os.Rename(Path(dir), to)
}
