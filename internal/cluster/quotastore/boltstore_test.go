package quotastore

import (
	"errors"
	"path/filepath"
	"testing"
	"time"

	"github.com/hashicorp/raft"
)

func newBoltStore(t *testing.T) *boltStore {
	t.Helper()
	s, err := openBoltStore(filepath.Join(t.TempDir(), "ledger.db"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	return s
}

// TestBoltLog: entries are deleted with both ends of a range, and one that is missing is an error of its own.
func TestBoltLog(t *testing.T) {
	s := newBoltStore(t)
	for i := uint64(1); i <= 5; i++ {
		if err := s.StoreLog(&raft.Log{Index: i, Term: 1, Data: []byte{byte(i)}}); err != nil {
			t.Fatal(err)
		}
	}
	if err := s.DeleteRange(1, 3); err != nil {
		t.Fatal(err)
	}
	if first, err := s.FirstIndex(); first != 4 || err != nil {
		t.Errorf("the first entry is %d, %v, wanted 4", first, err)
	}
	if last, err := s.LastIndex(); last != 5 || err != nil {
		t.Errorf("the last entry is %d, %v, wanted 5", last, err)
	}
	var l raft.Log
	if err := s.GetLog(3, &l); !errors.Is(err, raft.ErrLogNotFound) {
		t.Errorf("a deleted entry: %v", err)
	}
	if err := s.GetLog(4, &l); err != nil || l.Data[0] != 4 {
		t.Errorf("entry 4: %+v, %v", l, err)
	}
}

// TestBoltSetRetries: a value that can't be written is retried until the store is closed, as the consensus library
// would end the process else.
func TestBoltSetRetries(t *testing.T) {
	s := newBoltStore(t)
	if err := s.db.Close(); err != nil { // writes fail from here on
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- s.SetUint64([]byte("CurrentTerm"), 7) }()
	select {
	case err := <-done:
		t.Fatalf("gave up: %v", err)
	case <-time.After(300 * time.Millisecond):
	}
	s.closed.Store(true)
	select {
	case err := <-done:
		if err == nil {
			t.Fatal("a closed store took a value")
		}
	case <-time.After(10 * time.Second):
		t.Fatal("a closed store is still written to")
	}
}

// TestBoltValuesAreCopies: a value that was read stays as it was, whatever is written after.
func TestBoltValuesAreCopies(t *testing.T) {
	s := newBoltStore(t)
	if err := s.Set([]byte("k"), []byte("first")); err != nil {
		t.Fatal(err)
	}
	value, err := s.Get([]byte("k"))
	if err != nil || string(value) != "first" {
		t.Fatalf("%q, %v", value, err)
	}
	for range 20 { // pages are used again after some transactions
		if err := s.Set([]byte("k"), []byte("other")); err != nil {
			t.Fatal(err)
		}
	}
	if string(value) != "first" {
		t.Errorf("the value that was read is %q now", value)
	}
}
