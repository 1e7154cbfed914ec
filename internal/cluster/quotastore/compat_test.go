package quotastore

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/hashicorp/raft"

	"milletbarrow/internal/cluster/quota"
	"milletbarrow/internal/compattest"
)

// TestEarlierFormats checks that a notLeaderResponse of an earlier release can be decoded, and is encoded in the same
// form.
func TestEarlierFormats(t *testing.T) {
	compattest.RoundTrip[notLeaderResponse](t, "notHere.json")
}

// copyEarlierStore copies the store of an earlier release, a snapshot followed by log entries, into a directory.
func copyEarlierStore(t *testing.T, dir string) {
	t.Helper()
	if err := os.CopyFS(dir, os.DirFS(compattest.File("."))); err != nil {
		t.Fatal(err)
	}
}

// TestEarlierSnapshotAndLog checks that the snapshot and the subsequent log entries of an earlier release result in the
// state that the release itself reached, byte for byte.
func TestEarlierSnapshotAndLog(t *testing.T) {
	dir := t.TempDir()
	copyEarlierStore(t, dir)
	snapshots, err := raft.NewFileSnapshotStore(dir, 2, nil)
	if err != nil {
		t.Fatal(err)
	}
	list, err := snapshots.List()
	if err != nil || len(list) != 1 {
		t.Fatalf("%d snapshots, %v, want 1", len(list), err)
	}
	_, content, err := snapshots.Open(list[0].ID)
	if err != nil {
		t.Fatal(err)
	}
	defer content.Close()
	store := &Store{}
	if err := store.restore(content); err != nil {
		t.Fatal(err)
	}
	applyEntriesAfter(t, store, dir, list[0].Index)
	state, err := store.snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if want := compattest.Read(t, "truth.json"); !bytes.Equal(state, want) {
		t.Errorf("state\n%s\nwant\n%s", state, want)
	}
}

// applyEntriesAfter applies the commands in a log that follow an index.
func applyEntriesAfter(t *testing.T, store *Store, dir string, snapshotIndex uint64) {
	t.Helper()
	log, err := openBoltStore(filepath.Join(dir, databaseFile))
	if err != nil {
		t.Fatal(err)
	}
	defer log.Close()
	last, err := log.LastIndex()
	if err != nil || last <= snapshotIndex {
		t.Fatalf("the log ends at %d, the snapshot at %d: %v", last, snapshotIndex, err)
	}
	for index := snapshotIndex + 1; index <= last; index++ {
		var entry raft.Log
		if err := log.GetLog(index, &entry); err != nil {
			t.Fatal(err)
		}
		if entry.Type != raft.LogCommand {
			continue
		}
		var command quota.Command
		if err := json.Unmarshal(entry.Data, &command); err != nil {
			t.Fatal(err)
		}
		compattest.SameJSON(t, "a log entry", entry.Data, command)
		if result := store.apply(entry.Data); result.Rejection != "" {
			t.Errorf("entry %d: %s", index, result.Rejection)
		}
	}
}

// TestEarlierStoreServes checks that a store that starts on the files of an earlier release becomes leader and still
// holds the release's permits.
func TestEarlierStoreServes(t *testing.T) {
	g := newGroup(t, 1)
	copyEarlierStore(t, filepath.Join(g.dir, "h1"))
	g.start("h1")
	t.Cleanup(g.stopAll)
	hasVersion2 := func(status quota.Status) bool { return status.Version == 2 }
	status := g.waitForStatus(10*time.Second, "version 2", hasVersion2)
	held := 0
	for _, usage := range status.Limits {
		if usage.Limit == "out" {
			held = len(usage.Holders)
		}
	}
	if len(status.Limits) != 2 || held != 2 {
		t.Errorf("%d limits and %d permits, want 2 and 2: %+v", len(status.Limits), held, status)
	}
}
