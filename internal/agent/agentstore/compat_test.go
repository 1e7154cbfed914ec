package agentstore

import (
	"os"
	"testing"

	"milletbarrow/internal/compattest"
)

// TestEarlierFormats holds that JSON that an earlier release wrote, with each field set, is read and written the same.
func TestEarlierFormats(t *testing.T) {
	compattest.RoundTrip[Entry](t, "Entry.json")
}

// TestEarlierRecord holds that the store of an agent of an earlier release, with instances that run, commands and
// history, is read completely. record.json is what that release itself read out of the same file.
func TestEarlierRecord(t *testing.T) {
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
