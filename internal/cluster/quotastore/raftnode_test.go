package quotastore

import (
	"bytes"
	"context"
	"runtime"
	"testing"
	"time"

	"go.etcd.io/bbolt"

	"milletbarrow/internal/cluster/quorum"
	"milletbarrow/internal/cluster/transport"
	"milletbarrow/internal/limits"
	"milletbarrow/internal/process"
)

// patience is how long a test waits for what has to happen.
const patience = 10 * time.Second

// openTestStore opens the store of a host on loopback; its transport runs, the store does not.
func openTestStore(t *testing.T, host string, addresses map[string]string, members ...string) *Store {
	t.Helper()
	tr, err := transport.Listen(host, "127.0.0.1:0", addresses, limits.ForControl())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = tr.Run(ctx)
	}()
	s, err := Open(Config{
		Host: host, Members: members, Dir: t.TempDir(), Transport: tr, Bounds: limits.ForControl(),
		Clock: process.Now,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		cancel()
		<-ended
		if s.log != nil {
			_ = s.log.Close()
		}
	})
	return s
}

// goroutinesIn counts the goroutines that run a function.
func goroutinesIn(function string) int {
	all := make([]byte, 1<<20)
	return bytes.Count(all[:runtime.Stack(all, true)], []byte(function+"("))
}

func waitForNone(t *testing.T, function string) {
	t.Helper()
	for began := time.Now(); goroutinesIn(function) > 0; time.Sleep(10 * time.Millisecond) {
		if time.Since(began) > patience {
			t.Fatalf("%d goroutines run %s", goroutinesIn(function), function)
		}
	}
}

// TestFailedStartLeavesNothing: where the consensus library can't start, the goroutine that filters its calls ends,
// also while it looks at a call of an ineligible member.
func TestFailedStartLeavesNothing(t *testing.T) {
	const filter, listen = "quotastore.(*eligibilityTransport).filter", "raft.(*NetworkTransport).listen"
	waitForNone(t, filter)
	waitForNone(t, listen)
	s := openTestStore(t, "h1", nil, "h1", "h2", "h3")
	peer := openTestStore(t, "h2", map[string]string{"h1": s.config.Transport.Address()})
	c, err := peer.config.Transport.Dial(context.Background(), transport.KindRaft, "h1")
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := c.Write([]byte{1, 0x80}); err != nil { // the beginning of a request for a vote: an empty map
		t.Fatal(err)
	}
	err = s.log.db.Update(func(tx *bbolt.Tx) error { return tx.Bucket(logBucket).Put(encodeUint64(5), []byte("no entry")) })
	if err != nil {
		t.Fatal(err)
	}
	required := quorum.Eligibility{Behind: true, RequiredLog: quorum.LogPosition{Term: 3, LogTerm: 3, Index: 9}}
	if r, err := s.startRaft(required); err == nil {
		_ = r.Shutdown().Error()
		t.Fatal("started on an unreadable log")
	}
	waitForNone(t, filter)
	waitForNone(t, listen)
	if s.replica != nil {
		t.Error("the store has a replica")
	}
}
