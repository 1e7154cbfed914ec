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

	"milletbarrow/internal/cluster/quorum"
	"milletbarrow/internal/failpoint"
)

// boltStore is the consensus library's log and its few values, on bbolt: every write is durable before it returns.
type boltStore struct {
	db     *bbolt.DB
	closed atomic.Bool
}

var (
	logBucket    = []byte("log")
	stableBucket = []byte("words")
)

// Keys under which the library stores its term and its latest vote.
var (
	currentTermKey       = []byte("CurrentTerm")
	lastVoteTermKey      = []byte("LastVoteTerm")
	lastVoteCandidateKey = []byte("LastVoteCand")
)

// unknownCandidate stands for the candidate of a vote that was forgotten; no host has this name.
const unknownCandidate = "nobody: it may have voted before its directory was set back"

const (
	lockTimeout       = time.Second            // for another process to close the file
	setRetryInterval  = 100 * time.Millisecond // between two attempts to write a value
	setRetriesPerLine = 50                     // attempts for each line in the log
)

// openBoltStore opens or makes the file; another process that has it is waited for a little.
func openBoltStore(path string) (*boltStore, error) {
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: lockTimeout})
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

// boundaryIndex is the index of the first or the last entry.
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

// DeleteRange deletes entries, both ends included.
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

// position is the member's term and the end of its log.
func (s *boltStore) position() (p quorum.LogPosition, err error) {
	if p.Term, err = s.GetUint64(currentTermKey); err != nil {
		return p, err
	}
	if p.Index, err = s.LastIndex(); err != nil || p.Index == 0 {
		return p, err
	}
	var last raft.Log
	err = s.GetLog(p.Index, &last)
	p.LogTerm = last.Term
	return p, err
}

// adoptTerm takes over a term of the group, with its vote used up: this member may have voted in it before its directory
// was set back.
func (s *boltStore) adoptTerm(term uint64) error {
	return errors.Join(s.SetUint64(currentTermKey, term), s.SetUint64(lastVoteTermKey, term), s.Set(lastVoteCandidateKey, []byte(unknownCandidate)))
}

// Set writes a value. The library ends its process where a term can't be written; but an agent has other duties. So the
// write is retried until the disk takes it: the library stands still meanwhile, which for its peers is a member that does
// not answer.
func (s *boltStore) Set(name, value []byte) error {
	for n := 0; ; n++ {
		err := s.db.Update(func(tx *bbolt.Tx) error { return tx.Bucket(stableBucket).Put(name, value) })
		if err == nil || s.closed.Load() {
			return err
		}
		if n%setRetriesPerLine == 0 {
			slog.Error("quota_store", "written", false, "error", err.Error())
		}
		time.Sleep(setRetryInterval)
	}
}

// Get reads a value; none is empty. It is the caller's own.
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
