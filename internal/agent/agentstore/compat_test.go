package agentstore

import (
	"os"
	"testing"

	"milletbarrow/internal/compattest"
)

// TestEntryOfEarlierReleaseRoundTrips checks that a history entry that an earlier release wrote, with each field set,
// is read and written back unchanged.
func TestEntryOfEarlierReleaseRoundTrips(t *testing.T) {
	compattest.RoundTrip[Entry](t, "Entry.json")
}

// TestStoreOfEarlierReleaseIsReadCompletely checks that the store of an agent of an earlier release, with running
// instances, commands and history, is read completely. record.json is the content as that release read it from the same
// file.
func TestStoreOfEarlierReleaseIsReadCompletely(t *testing.T) {
	dir := t.TempDir()
	if err := os.WriteFile(Path(dir), compattest.Read(t, "record.db"), fileMode); err != nil {
		t.Fatal(err)
	}
	const historyLimit = 10_000 // more than the file has
	store, err := Open(dir, historyLimit)
	if err != nil {
		t.Fatal(err)
	}
	defer store.Close()
	saved := load(t, store)
	if len(saved.Instances) != 2 || len(saved.Commands) == 0 || len(saved.History) == 0 {
		t.Errorf("read %d instances, %d commands and %d history entries",
			len(saved.Instances), len(saved.Commands), len(saved.History))
	}
	compattest.SameJSON(t, "record.db", compattest.Read(t, "record.json"), map[string]any{
		"boot":      saved.BootID,
		"instances": saved.Instances,
		"commands":  saved.Commands,
		"intents":   saved.Intents,
		"history":   saved.History,
	})
}
