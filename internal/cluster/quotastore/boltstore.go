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

// boltStore stores the Raft library's log and its stable values in a bbolt file. Every write is durable when it
// returns. It implements raft.LogStore and raft.StableStore and is safe for concurrent use.
type boltStore struct {
	db     *bbolt.DB
	closed atomic.Bool
}

var (
	_ raft.LogStore    = (*boltStore)(nil)
	_ raft.StableStore = (*boltStore)(nil)
)

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

// unknownCandidate is stored as the candidate of a vote that may have been lost with a newer directory. No host can
// have this name.
const unknownCandidate = "nobody: it may have voted before its directory was set back"

const (
	lockTimeout           = time.Second            // how long to wait for another process to close the file
	setRetryInterval      = 100 * time.Millisecond // between two attempts to write a value
	setAttemptsPerLogLine = 50                     // failed attempts per log line
)

// openBoltStore opens or creates a file. If another process has it open, it waits for at most lockTimeout.
func openBoltStore(path string) (*boltStore, error) {
	db, err := bbolt.Open(path, fileMode, &bbolt.Options{Timeout: lockTimeout})
	if err != nil {
		return nil, fmt.Errorf("open quota store %s: %w", path, err)
	}
	err = db.Update(func(tx *bbolt.Tx) error {
		_, logErr := tx.CreateBucketIfNotExists(logBucket)
		_, stableErr := tx.CreateBucketIfNotExists(stableBucket)
		return errors.Join(logErr, stableErr)
	})
	if err != nil {
		_ = db.Close()
		return nil, fmt.Errorf("create buckets of quota store %s: %w", path, err)
	}
	return &boltStore{db: db}, nil
}

// Close closes the file and stops the retries of Set.
func (s *boltStore) Close() error {
	s.closed.Store(true)
	return s.db.Close()
}

// encodeUint64 encodes a number as big-endian, so that keys sort in the order of the numbers.
func encodeUint64(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }

// FirstIndex implements raft.LogStore. It returns 0 for an empty log.
func (s *boltStore) FirstIndex() (uint64, error) { return s.indexAt((*bbolt.Cursor).First) }

// LastIndex implements raft.LogStore. It returns 0 for an empty log.
func (s *boltStore) LastIndex() (uint64, error) { return s.indexAt((*bbolt.Cursor).Last) }

// indexAt returns the index of the log entry that seek moves to, or 0 if there is none.
func (s *boltStore) indexAt(seek func(*bbolt.Cursor) (key, value []byte)) (index uint64, err error) {
	err = s.db.View(func(tx *bbolt.Tx) error {
		if key, _ := seek(tx.Bucket(logBucket).Cursor()); key != nil {
			index = binary.BigEndian.Uint64(key)
		}
		return nil
	})
	return index, err
}

// GetLog implements raft.LogStore. It returns raft.ErrLogNotFound for an entry that is not stored.
func (s *boltStore) GetLog(index uint64, entry *raft.Log) error {
	return s.db.View(func(tx *bbolt.Tx) error {
		encoded := tx.Bucket(logBucket).Get(encodeUint64(index))
		if encoded == nil {
			return raft.ErrLogNotFound
		}
		return json.Unmarshal(encoded, entry)
	})
}

// StoreLog implements raft.LogStore.
func (s *boltStore) StoreLog(entry *raft.Log) error { return s.StoreLogs([]*raft.Log{entry}) }

// StoreLogs implements raft.LogStore. It stores all entries or none.
func (s *boltStore) StoreLogs(entries []*raft.Log) error {
	err := s.db.Update(func(tx *bbolt.Tx) error {
		bucket := tx.Bucket(logBucket)
		for _, entry := range entries {
			encoded, err := json.Marshal(entry)
			if err != nil {
				return err
			}
			if err := bucket.Put(encodeUint64(entry.Index), encoded); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return err
	}
	failpoint.CrashAt(failpoint.AfterStored)
	return nil
}

// DeleteRange implements raft.LogStore. It deletes the entries from first to last, both included.
func (s *boltStore) DeleteRange(first, last uint64) error {
	return s.db.Update(func(tx *bbolt.Tx) error {
		cursor := tx.Bucket(logBucket).Cursor()
		end := encodeUint64(last)
		key, _ := cursor.Seek(encodeUint64(first))
		for ; key != nil && bytes.Compare(key, end) <= 0; key, _ = cursor.Next() {
			if err := cursor.Delete(); err != nil {
				return err
			}
		}
		return nil
	})
}

// position returns the member's term and the end of its log.
func (s *boltStore) position() (quorum.LogPosition, error) {
	term, err := s.GetUint64(currentTermKey)
	if err != nil {
		return quorum.LogPosition{}, err
	}
	index, err := s.LastIndex()
	if err != nil || index == 0 {
		return quorum.LogPosition{Term: term}, err
	}
	var last raft.Log
	err = s.GetLog(index, &last)
	return quorum.LogPosition{Term: term, Index: index, LogTerm: last.Term}, err
}

// adoptTerm stores a term of the group and marks this member's vote in it as cast: the member may have voted in that
// term before its directory was replaced by an older copy.
func (s *boltStore) adoptTerm(term uint64) error {
	return errors.Join(
		s.SetUint64(currentTermKey, term),
		s.SetUint64(lastVoteTermKey, term),
		s.Set(lastVoteCandidateKey, []byte(unknownCandidate)),
	)
}

// Set implements raft.StableStore. It retries a write until it succeeds or the store is closed: the library panics if a
// term can't be written, which would end the whole agent. Meanwhile the library blocks, and this member is unresponsive
// to its peers.
func (s *boltStore) Set(key, value []byte) error {
	for attempt := 0; ; attempt++ {
		err := s.db.Update(func(tx *bbolt.Tx) error { return tx.Bucket(stableBucket).Put(key, value) })
		if err == nil || s.closed.Load() {
			return err
		}
		if attempt%setAttemptsPerLogLine == 0 {
			slog.Error("quota_store", "written", false, "error", err.Error())
		}
		time.Sleep(setRetryInterval)
	}
}

// Get implements raft.StableStore. It returns an empty value for a key that is not stored. The caller owns the value.
func (s *boltStore) Get(key []byte) (value []byte, err error) {
	err = s.db.View(func(tx *bbolt.Tx) error {
		value = bytes.Clone(tx.Bucket(stableBucket).Get(key))
		return nil
	})
	return value, err
}

// SetUint64 implements raft.StableStore. It writes as Set does.
func (s *boltStore) SetUint64(key []byte, n uint64) error { return s.Set(key, encodeUint64(n)) }

// GetUint64 implements raft.StableStore. It returns 0 for a key that is not stored.
func (s *boltStore) GetUint64(key []byte) (uint64, error) {
	encoded, err := s.Get(key)
	if err != nil || len(encoded) != binary.Size(uint64(0)) {
		return 0, err
	}
	return binary.BigEndian.Uint64(encoded), nil
}
