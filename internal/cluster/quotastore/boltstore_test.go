package quotastore

import (
	"errors"
	"testing"
	"time"

	"github.com/hashicorp/raft"
)

// TestDeleteRangeDeletesBothEnds also checks that reading a deleted entry returns raft.ErrLogNotFound.
func TestDeleteRangeDeletesBothEnds(t *testing.T) {
	s := newBoltStore(t)
	for index := uint64(1); index <= 5; index++ {
		if err := s.StoreLog(&raft.Log{Index: index, Term: 1, Data: []byte{byte(index)}}); err != nil {
			t.Fatal(err)
		}
	}
	if err := s.DeleteRange(1, 3); err != nil {
		t.Fatal(err)
	}
	if first, err := s.FirstIndex(); first != 4 || err != nil {
		t.Errorf("first index %d, %v, want 4", first, err)
	}
	if last, err := s.LastIndex(); last != 5 || err != nil {
		t.Errorf("last index %d, %v, want 5", last, err)
	}
	var entry raft.Log
	if err := s.GetLog(3, &entry); !errors.Is(err, raft.ErrLogNotFound) {
		t.Errorf("read of a deleted entry: error %v, want ErrLogNotFound", err)
	}
	if err := s.GetLog(4, &entry); err != nil || entry.Data[0] != 4 {
		t.Errorf("entry 4: %+v, %v", entry, err)
	}
}

// TestSetRetriesUntilClosed checks that Set does not return an error before the store is closed, because the Raft
// library would panic.
func TestSetRetriesUntilClosed(t *testing.T) {
	s := newBoltStore(t)
	if err := s.db.Close(); err != nil { // writes fail from here on
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- s.SetUint64(currentTermKey, 7) }()
	select {
	case err := <-done:
		t.Fatalf("Set returned before the store was closed: %v", err)
	case <-time.After(3 * setRetryInterval):
	}
	s.closed.Store(true)
	select {
	case err := <-done:
		if err == nil {
			t.Fatal("Set on a closed store returned no error")
		}
	case <-time.After(waitTimeout):
		t.Fatal("Set did not return after the store was closed")
	}
}

func TestReadValueIsNotChangedByLaterWrites(t *testing.T) {
	s := newBoltStore(t)
	key := []byte("k")
	if err := s.Set(key, []byte("first")); err != nil {
		t.Fatal(err)
	}
	value, err := s.Get(key)
	if err != nil || string(value) != "first" {
		t.Fatalf("%q, %v, want first", value, err)
	}
	for range 20 { // bbolt reuses pages after some transactions
		if err := s.Set(key, []byte("other")); err != nil {
			t.Fatal(err)
		}
	}
	if string(value) != "first" {
		t.Errorf("the value read earlier has changed to %q", value)
	}
}
