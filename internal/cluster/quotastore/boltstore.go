package quotastore

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/hashicorp/raft"
	"go.etcd.io/bbolt"

	"milletbarrow/internal/failpoint"
)

// store is the consensus library's log and its few words, on bbolt: every write is durable before it returns.
type boltStore struct {
	db     *bbolt.DB
	closed atomic.Bool
}

var (
	logBucket    = []byte("log")
	stableBucket = []byte("words")
)

// openStore opens or makes the file; another process that has it is waited for a little.
func openBoltStore(path string) (*boltStore, error) {
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: time.Second})
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	err = db.Update(func(tx *bbolt.Tx) error {
		_, err1 := tx.CreateBucketIfNotExists(logBucket)
		_, err2 := tx.CreateBucketIfNotExists(stableBucket)
		return errors.Join(err1, err2)
	})
	if err != nil {
		_ = db.Close()
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return &boltStore{db: db}, nil
}

func (s *boltStore) Close() error {
	s.closed.Store(true)
	return s.db.Close()
}

func key(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }

func (s *boltStore) boundaryIndex(last bool) (n uint64, err error) {
	err = s.db.View(func(tx *bbolt.Tx) error {
		c := tx.Bucket(logBucket).Cursor()
		k, _ := c.First()
		if last {
			k, _ = c.Last()
		}
		if k != nil {
			n = binary.BigEndian.Uint64(k)
		}
		return nil
	})
	return n, err
}

// FirstIndex is 0 for an empty log.
func (s *boltStore) FirstIndex() (uint64, error) { return s.boundaryIndex(false) }

// LastIndex is 0 for an empty log.
func (s *boltStore) LastIndex() (uint64, error) { return s.boundaryIndex(true) }

// GetLog reads one entry.
func (s *boltStore) GetLog(index uint64, l *raft.Log) error {
	return s.db.View(func(tx *bbolt.Tx) error {
		raw := tx.Bucket(logBucket).Get(key(index))
		if raw == nil {
			return raft.ErrLogNotFound
		}
		return json.Unmarshal(raw, l)
	})
}

// StoreLog writes one entry.
func (s *boltStore) StoreLog(l *raft.Log) error { return s.StoreLogs([]*raft.Log{l}) }

// StoreLogs writes all or none.
func (s *boltStore) StoreLogs(logs []*raft.Log) error {
	err := s.db.Update(func(tx *bbolt.Tx) error {
		b := tx.Bucket(logBucket)
		for _, l := range logs {
			raw, err := json.Marshal(l)
			if err == nil {
				err = b.Put(key(l.Index), raw)
			}
			if err != nil {
				return err
			}
		}
		return nil
	})
	if err == nil {
		failpoint.CrashAt(failpoint.AfterStored)
	}
	return err
}

// DeleteRange forgets entries, both ends with it.
func (s *boltStore) DeleteRange(from, to uint64) error {
	return s.db.Update(func(tx *bbolt.Tx) error {
		c := tx.Bucket(logBucket).Cursor()
		for k, _ := c.Seek(key(from)); k != nil && bytes.Compare(k, key(to)) <= 0; k, _ = c.Next() {
			if err := c.Delete(); err != nil {
				return err
			}
		}
		return nil
	})
}

// Set writes a word. The library gives up its whole process where a term can't be written; but an agent has other duties.
// So the write is tried until the disk takes it: the library stands still meanwhile, which for its peers is a member that
// does not answer.
func (s *boltStore) Set(name, value []byte) error {
	for n := 0; ; n++ {
		err := s.db.Update(func(tx *bbolt.Tx) error { return tx.Bucket(stableBucket).Put(name, value) })
		if err == nil || s.closed.Load() {
			return err
		}
		if n%50 == 0 {
			slog.Error("quota_store", "written", false, "error", err.Error())
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// Get reads a word; none is empty.
func (s *boltStore) Get(name []byte) (value []byte, err error) {
	err = s.db.View(func(tx *bbolt.Tx) error {
		value = bytes.Clone(tx.Bucket(stableBucket).Get(name))
		return nil
	})
	return value, err
}

// SetUint64 is Set of a number.
func (s *boltStore) SetUint64(name []byte, n uint64) error { return s.Set(name, key(n)) }

// GetUint64 is 0 for none.
func (s *boltStore) GetUint64(name []byte) (uint64, error) {
	raw, err := s.Get(name)
	if err != nil || len(raw) != 8 {
		return 0, err
	}
	return binary.BigEndian.Uint64(raw), nil
}
